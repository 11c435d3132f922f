/**
 * Names and filters of HTTP headers. Headers that are sent are flat arrays of name and value, as Node and
 * undici accept them.
 */

export const HEADER = {
  outcome: 'arbutustray-outcome',
  reason: 'arbutustray-reason',
  instance: 'arbutustray-instance',
  version: 'arbutustray-version',
  timeout: 'arbutustray-timeout-ms',
  leaving: 'arbutustray-leaving',
  headroom: 'arbutustray-headroom',
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

const NO_NAMES: ReadonlySet<string> = new Set()

function namedInConnection (connection: string | undefined): ReadonlySet<string> {
  // Nearly all requests carry exactly one of these two values, which name no header.
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return NO_NAMES
  return new Set(connection.toLowerCase().split(',').map(name => name.trim()))
}

/** Headers of a request that go to the next hop: not hop-by-hop, not the system's own, not replaced. */
export function requestHeaders (raw: readonly string[], connection: string | undefined): string[] {
  const named = namedInConnection(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const lower = raw[index].toLowerCase()
    if (isDropped(lower, named) || REPLACED_IN_REQUESTS.has(lower)) continue
    kept.push(lower, raw[index + 1])
  }
  return kept
}

/** Headers of an answer, by lower-case name, that go to the caller. */
export function answerHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const named = namedInConnection(single(headers.connection))
  const kept: string[] = []
  for (const name in headers) {
    if (isDropped(name, named) || name === HEADER.requestId) continue
    const value = headers[name]
    if (typeof value === 'string') kept.push(name, value)
    else value?.forEach(one => kept.push(name, one))
  }
  return kept
}

function isDropped (name: string, named: ReadonlySet<string>): boolean {
  return HOP_BY_HOP.has(name) || name.startsWith(OWN_PREFIX) || (named.size > 0 && named.has(name))
}

/** The only value of a header that may occur once; `undefined` if it is absent. */
export function single (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
