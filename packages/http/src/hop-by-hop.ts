/**
 * Headers that concern one connection only and are not passed on: those of RFC 9110, section 7.6.1, older ones that still
 * occur, and those that the message itself names.
 */

const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade'
])

const NO_OPTIONS: ReadonlySet<string> = new Set()

/** Names, in lower case, that the value of a `Connection` header lists. */
export function namedInConnection (connection: string | undefined): ReadonlySet<string> {
  // Nearly all messages carry exactly one of these two values, which name no header.
  if (connection === undefined || connection === 'keep-alive' || connection === 'close') return NO_OPTIONS
  return new Set(connection.toLowerCase().split(',').map(name => name.trim()))
}

/** Whether a header, in lower case, ends at this hop. `named` comes from `namedInConnection`. */
export function isHopByHop (name: string, named: ReadonlySet<string>): boolean {
  return HOP_BY_HOP_HEADERS.has(name) || (named.size > 0 && named.has(name))
}

/** The first value of a header; `undefined` if it is absent. */
export function single (value: string | string[] | undefined): string | undefined {
  return Array.isArray(value) ? value[0] : value
}
