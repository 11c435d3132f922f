/**
 * Decides which instances read the store; the others copy the data from a reader. Each region has one reader, the first
 * of its live instances in an order by hash that all instances compute alike. The calls to the store therefore do not
 * grow with the number of instances, and other readers remain when a reader or a region fails. An instance that sees
 * too few readers reads the store itself.
 */
import type { PeerCandidate } from './peer-selection.js'
import { isBefore, orderInstance } from './instance-order.js'

/** Readers that an instance must see to rely on them. A single one may have lost the store without noticing it. */
const MIN_READERS = 2

/** Whether this instance should read the store. */
export function shouldReadStore (self: { readonly id: string, readonly region: string }, others: readonly PeerCandidate[]): boolean {
  const readers = others.filter(({ isLive, isReading }) => isLive && isReading)
  if (readers.length < Math.min(MIN_READERS, others.length)) return true
  if (readers.length === 0) return true
  const own = orderInstance(self.id)
  return !others.some(({ id, region, isLive }) => isLive && region === self.region && isBefore(orderInstance(id), own))
}
