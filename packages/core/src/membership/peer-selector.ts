/**
 * Selects the peers that receive this instance's heartbeats. Their number is bounded, so that control traffic does not
 * grow with the fleet. Most peers stay the same from round to round, so that a missing heartbeat indicates a failure;
 * one peer of each group rotates, so that changes reach the whole fleet.
 */
import type { Instance, World } from '../tables.js'
import { regionOf } from '../configuration/traffic.js'
import { hash32 } from '../hash.js'

/** Peers of one round. Slots that peers of the same zone and region leave unused go to other regions. */
export const MAX_PEERS = 6
export const MAX_ZONE_PEERS = 3
export const MAX_REGION_PEERS = 2

/** Selects the peers of a round, at most `MAX_PEERS`. Prefers those that are reachable. */
export type PeerSelector = (round: number, isUnreachable: (id: string) => boolean) => readonly Instance[]

/** Creates a selector over `world.instances`, which it ranks by rendezvous hashing with this instance's id. */
export function createPeerSelector (world: World): PeerSelector {
  const scores = new Map<string, number>()

  function scoreOf (id: string): number {
    const cached = scores.get(id)
    if (cached !== undefined) return cached
    const score = hash32(`${world.self.id} ${id}`)
    scores.set(id, score)
    return score
  }

  function sortByScore (rows: readonly Instance[]): readonly Instance[] {
    return [...rows].sort((a, b) => scoreOf(b.id) - scoreOf(a.id) || (a.id < b.id ? -1 : 1))
  }

  return (round, isUnreachable) => {
    for (const id of scores.keys()) if (!world.instances.has(id)) scores.delete(id)
    const groups = groupByDistance(world)
    const peers = selectFromGroup(sortByScore(groups.zone), MAX_ZONE_PEERS, round, isUnreachable)
    peers.push(...selectFromGroup(sortByScore(groups.region), MAX_REGION_PEERS, round, isUnreachable))
    peers.push(...selectFromGroup(sortByScore(groups.elsewhere), MAX_PEERS - peers.length, round, isUnreachable))
    return peers
  }
}

/**
 * Returns the highest-ranked reachable instances for all but one slot. The last slot rotates among the others,
 * including silent and unreachable ones. A group that fits into `count` is returned whole.
 */
function selectFromGroup (
  rows: readonly Instance[], count: number, round: number, isUnreachable: (id: string) => boolean
): Instance[] {
  if (rows.length <= count) return [...rows]
  const stable = rows.filter(row => row.state !== 'silent' && !isUnreachable(row.id)).slice(0, count - 1)
  const rest = rows.filter(row => !stable.includes(row))
  const rotating = rest[round % rest.length]
  return rotating === undefined ? stable : [...stable, rotating]
}

interface PeerGroups {
  readonly zone: readonly Instance[]
  readonly region: readonly Instance[]
  readonly elsewhere: readonly Instance[]
}

function groupByDistance (world: World): PeerGroups {
  const { zone } = world.self
  const { configuration } = world
  const regions = new Map(configuration?.zones.map(row => [row.id, row.region]))
  const region = configuration === undefined ? undefined : regionOf(configuration, zone)
  const groups = { zone: [] as Instance[], region: [] as Instance[], elsewhere: [] as Instance[] }
  for (const row of world.instances.values()) {
    if (row.zone === zone) groups.zone.push(row)
    else if (region !== undefined && regions.get(row.zone) === region) groups.region.push(row)
    else groups.elsewhere.push(row)
  }
  return groups
}
