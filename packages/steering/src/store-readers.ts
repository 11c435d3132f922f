/**
 * Decides which instances read the store; the others take over what the readers know. Each region has one reader, the
 * first of its live instances in an order that all compute alike, so the calls to the store do not grow with the fleet
 * and the loss of a reader or of a region leaves others. An instance that sees no reader reads the store itself.
 */
import { hash32 } from '@arbutustray/core'

/** What an instance knows of another one. */
export interface ReaderCandidate {
  readonly id: string
  readonly region: string
  /** It answered lately. */
  readonly isLive: boolean
  /** It states that it reads the store and that the store answers it. */
  readonly isReading: boolean
}

/** Readers that must be seen before an instance relies on them. One may be cut off from the store without noticing. */
const MIN_READERS = 2

/** Whether this instance should read the store. */
export function shouldReadStore (self: { readonly id: string, readonly region: string }, others: readonly ReaderCandidate[]): boolean {
  const readers = others.filter(({ isLive, isReading }) => isLive && isReading)
  if (readers.length < Math.min(MIN_READERS, others.length)) return true
  if (readers.length === 0) return true
  const ownHash = hash32(self.id)
  return !others.some(({ id, region, isLive }) => {
    const otherHash = hash32(id)
    return isLive && region === self.region && (otherHash < ownHash || (otherHash === ownHash && id < self.id))
  })
}
