/**
 * Addresses in the form `host:port`; an IPv6 host stands in brackets.
 */

/** A host and a port. */
export interface Address {
  readonly host: string
  readonly port: number
}

/** Splits an address into host and port. The caller must have validated its form. */
export function parseAddress (address: string): Address {
  const colon = address.lastIndexOf(':')
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1')
  return { host, port: Number(address.slice(colon + 1)) }
}

/** Joins host and port to `host:port`. */
export function formatAddress ({ host, port }: Address): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`
}
