/**
 * Allocates loopback addresses that must be known before a server listens on them. Each has its own host and a port below
 * the ephemeral range, so that no other server and no outgoing connection can take the port first, or while a process
 * restarts.
 */

const PORT = 8_100
const HOSTS_PER_OCTET = 250
/** Number of values of the second octet, from 64 on. */
const SECOND_OCTETS = 128
const MAX_LAST_OCTET = 254

export interface Addresses {
  /** Returns a host that this allocation has not returned yet. */
  readonly nextHost: () => string
  /** Returns `host:port` with a new host. */
  readonly nextAddress: () => string
}

/** `processId` selects the second and third octet, so that concurrent processes use different hosts. */
export function createAddresses (processId: number): Addresses {
  const prefix = `127.${64 + processId % SECOND_OCTETS}.${Math.floor(processId / SECOND_OCTETS) % HOSTS_PER_OCTET}`
  let lastOctet = 0
  const nextHost = (): string => {
    lastOctet += 1
    if (lastOctet > MAX_LAST_OCTET) throw new Error(`more than ${MAX_LAST_OCTET} loopback hosts in one allocation`)
    return `${prefix}.${lastOctet}`
  }
  return { nextHost, nextAddress: () => `${nextHost()}:${PORT}` }
}
