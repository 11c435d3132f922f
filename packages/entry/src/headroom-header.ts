/**
 * Formats and parses the header that reports the headroom of an entry instance in the answer to a forwarded request.
 * Heartbeats carry the headroom only once a second, which is too late for a zone that fills up within the short time
 * in which one of its upstreams is slow.
 */
import type { Headroom } from '@arbutustray/core'

const FORMAT = /^free=(\d{1,9}), slots=(\d{1,9}), queued=(\d{1,9})$/

/** Formats the value of the header. The service is not included, since it is that of the request. */
export function formatHeadroom ({ free, slots, queued }: Headroom): string {
  return `free=${free}, slots=${slots}, queued=${queued}`
}

/** Parses the header. Returns `undefined` if it is absent or malformed. */
export function parseHeadroom (service: string, value: string | undefined): Headroom | undefined {
  const [, free, slots, queued] = FORMAT.exec(value ?? '') ?? []
  if (free === undefined || slots === undefined || queued === undefined) return undefined
  return { service, free: Number(free), slots: Number(slots), queued: Number(queued) }
}
