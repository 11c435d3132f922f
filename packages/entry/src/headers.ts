/**
 * Names and filters of HTTP headers. Raw headers are flat arrays of name and value, as Node and undici use them.
 */

export const HEADER = {
  outcome: 'arbutustray-outcome',
  reason: 'arbutustray-reason',
  instance: 'arbutustray-instance',
  version: 'arbutustray-version',
  timeout: 'arbutustray-timeout-ms',
  leaving: 'arbutustray-leaving',
  originZone: 'arbutustray-origin-zone',
  tenant: 'arbutustray-tenant',
  forwardedBy: 'arbutustray-forwarded-by',
  keyHome: 'arbutustray-key-home',
  peerToken: 'arbutustray-peer-token',
  requestId: 'x-request-id',
  key: 'idempotency-key',
  traceparent: 'traceparent'
} as const

const OWN_PREFIX = 'arbutustray-'

/** RFC 9110, section 7.6.1, and the older names that still occur. */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
])

/** Set anew for each hop. */
const REPLACED_IN_REQUESTS: ReadonlySet<string> = new Set(['host', 'expect', HEADER.requestId, HEADER.traceparent])

const REPLACED_IN_ANSWERS: ReadonlySet<string> = new Set([HEADER.requestId])

const NO_NAMES: ReadonlySet<string> = new Set()

function namedInConnection (connection: string | undefined): ReadonlySet<string> {
  // Nearly all requests carry exactly one of these two values, which name no header.
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return NO_NAMES
  return new Set(connection.toLowerCase().split(',').map(name => name.trim()))
}

function text (value: string | Buffer): string {
  return typeof value === 'string' ? value : value.toString('latin1')
}

function filter (
  raw: ReadonlyArray<string | Buffer>, connection: string | undefined, replaced: ReadonlySet<string>
): string[] {
  const named = namedInConnection(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = text(raw[index])
    const lower = name.toLowerCase()
    if (HOP_BY_HOP.has(lower) || replaced.has(lower) || named.has(lower) || lower.startsWith(OWN_PREFIX)) continue
    kept.push(name, text(raw[index + 1]))
  }
  return kept
}

/** Headers of a request that go to the next hop: not hop-by-hop, not the system's own, not replaced. */
export function requestHeaders (raw: readonly string[], connection: string | undefined): string[] {
  return filter(raw, connection, REPLACED_IN_REQUESTS)
}

/** Headers of an answer that go to the caller. */
export function answerHeaders (raw: ReadonlyArray<string | Buffer>, connection: string | undefined): string[] {
  return filter(raw, connection, REPLACED_IN_ANSWERS)
}

/** The only value of a header that may occur once; `undefined` if it is absent. */
export function single (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
