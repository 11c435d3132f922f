/**
 * Hop-by-hop headers, which apply to a single connection and must not be forwarded: those of RFC 9110, section 7.6.1,
 * obsolete ones still in use, and those that the message lists in its `Connection` header.
 */

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
])

const NO_OPTIONS: ReadonlySet<string> = new Set()

/** Parses a `Connection` header into its connection options: the listed header names, in lower case. */
export function parseConnectionOptions (connection: string | undefined): ReadonlySet<string> {
  // Fast path: nearly all messages have no `Connection` header or one of these two values, which list no header name.
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return NO_OPTIONS
  return new Set(connection.toLowerCase().split(',').map(name => name.trim()))
}

/** Whether a header, in lower case, must not be forwarded. `connectionOptions` is the result of `parseConnectionOptions`. */
export function isHopByHop (name: string, connectionOptions: ReadonlySet<string>): boolean {
  return HOP_BY_HOP_HEADERS.has(name) || (connectionOptions.size > 0 && connectionOptions.has(name))
}

/** First value of a header; `undefined` if the header is absent. */
export function firstValue (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
