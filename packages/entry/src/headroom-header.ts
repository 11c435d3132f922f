/**
 * The header by which an entry instance states its headroom in the answer to a forwarded request. Heartbeats bring it
 * once a second, which is too late for zones that fill within a straggler's slow spell.
 */
import type { Headroom } from '@arbutustray/core'

const FORMAT = /^free=(\d{1,9}), slots=(\d{1,9}), queued=(\d{1,9})$/

/** Value of the header; the service is that of the request. */
export function formatHeadroom ({ free, slots, queued }: Headroom): string {
  return `free=${free}, slots=${slots}, queued=${queued}`
}

/** Reads the header; `undefined` if it is absent or malformed. */
export function parseHeadroom (service: string, value: string | undefined): Headroom | undefined {
  const [, free, slots, queued] = FORMAT.exec(value ?? '') ?? []
  if (free === undefined || slots === undefined || queued === undefined) return undefined
  return { service, free: Number(free), slots: Number(slots), queued: Number(queued) }
}
