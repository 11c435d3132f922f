/**
 * What an instance knows of the fleet, in the form of the platform's list, for a peer that has no list.
 */
import type { ListedInstance } from '../event.js'
import type { World } from '../tables.js'

/** Entry instances, this one among them, and upstreams. Empty without a list of the platform or of a peer. */
export function knownList (world: World): readonly ListedInstance[] {
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
