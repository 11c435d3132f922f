/**
 * Builds a substitute for the platform's list from this instance's tables, for a peer that started while the platform
 * was unavailable.
 */
import type { ListedInstance } from '../event.js'
import type { World } from '../tables.js'

/**
 * Returns all known entry instances, including this one, and all known upstreams. The list is empty if this instance
 * has received no list either.
 */
export function buildFleetList (world: World): readonly ListedInstance[] {
  const { self, instances, upstreams, stoppingSince } = world
  if (upstreams.size === 0) return []
  const own = { ...entryFields(self), state: stoppingSince === undefined ? 'live' : 'leaving' } as const
  const others = [...instances.values()].map(row => (
    { ...entryFields(row), state: row.state === 'leaving' ? 'leaving' : 'live' } as const))
  const upstreamEntries = [...upstreams.values()].map(({ id, service, zone, address, state }) => (
    { id, role: 'upstream', service, zone, address, state } as const))
  return [own, ...others, ...upstreamEntries]
}

function entryFields (
  { id, zone, address, peerAddress }: Pick<Required<ListedInstance>, 'id' | 'zone' | 'address' | 'peerAddress'>
): Omit<Required<ListedInstance>, 'state' | 'service'> {
  return { id, role: 'entry', zone, address, peerAddress }
}
