/**
 * Names of the gateway's own HTTP headers, and filters for the headers that are forwarded. Headers to send are flat
 * arrays of names and values, as Node and undici accept them.
 */
import { isHopByHop, parseConnectionOptions, firstValue } from '@arbutustray/http'

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

const RESERVED_PREFIX = 'arbutustray-'

/** Request headers that are not copied because each hop sets or omits them itself. */
const REPLACED_IN_REQUESTS: ReadonlySet<string> = new Set(['host', 'expect', HEADER.requestId, HEADER.traceparent])

/** Selects the request headers for the next hop: omits hop-by-hop, reserved and replaced headers. */
export function filterRequestHeaders (raw: readonly string[], connection: string | undefined): string[] {
  const named = parseConnectionOptions(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const lower = raw[index].toLowerCase()
    if (isNotForwarded(lower, named) || REPLACED_IN_REQUESTS.has(lower)) continue
    kept.push(lower, raw[index + 1])
  }
  return kept
}

/** Selects the headers of an answer that go to the caller. The names must be in lower case. */
export function filterAnswerHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): string[] {
  const named = parseConnectionOptions(firstValue(headers.connection))
  const kept: string[] = []
  for (const name in headers) {
    if (isNotForwarded(name, named) || name === HEADER.requestId) continue
    const value = headers[name]
    if (typeof value === 'string') kept.push(name, value)
    else value?.forEach(one => kept.push(name, one))
  }
  return kept
}

function isNotForwarded (name: string, named: ReadonlySet<string>): boolean {
  return name.startsWith(RESERVED_PREFIX) || isHopByHop(name, named)
}
