/**
 * Divides the slots of an upstream among the entry instances of its zone. Every instance computes its own share from
 * the same inputs, so the shares add up to at most the slots without coordination. The remainder of the division goes
 * to the instances that rank first by rendezvous hashing, one slot each, so that it is spread over all instances when
 * there are several upstreams.
 */
import { createHash } from 'node:crypto'
import type { Presence } from './zone-presence.js'

/** Computes the number of slots of the upstream that belong to this instance. */
export type SlotShare = (upstreamId: string, slots: number, configuredInstances: number, presence: Presence) => number

/** Rank of this instance among the instances in `sharingIds`. */
interface CachedRank {
  readonly sharingIds: readonly string[]
  readonly rank: number
}

/** Size at which the cache of ranks is emptied, so that it stays bounded when upstreams are replaced. */
const MAX_CACHED_RANKS = 10_000

function rendezvousWeight (upstreamId: string, instanceId: string): string {
  return createHash('sha256').update(`${upstreamId}\n${instanceId}`).digest('hex')
}

/** Number of other instances that have a higher weight for the upstream than this instance. */
function rankAmong (sharingIds: readonly string[], upstreamId: string, selfId: string): number {
  const ownWeight = rendezvousWeight(upstreamId, selfId)
  return sharingIds.filter(id => id !== selfId && rendezvousWeight(upstreamId, id) > ownWeight).length
}

/** Creates the computation of the shares of one entry instance. */
export function createSlotShare (selfId: string): SlotShare {
  const cache = new Map<string, CachedRank>()

  function rankOf (upstreamId: string, sharingIds: readonly string[]): number {
    const cached = cache.get(upstreamId)
    if (cached?.sharingIds === sharingIds) return cached.rank
    if (cache.size >= MAX_CACHED_RANKS) cache.clear()
    const rank = rankAmong(sharingIds, upstreamId, selfId)
    cache.set(upstreamId, { sharingIds, rank })
    return rank
  }

  return (upstreamId, slots, configuredInstances, presence) => {
    // While an instance is replaced more instances than configured may share the slots; each share must then be smaller.
    const divisor = Math.max(1, configuredInstances, presence.sharingIds.length)
    const remainder = slots % divisor
    const share = Math.floor(slots / divisor)
    if (remainder === 0) return share
    // Instances whose id is unknown could have any rank, so they are assumed to rank before this one.
    return rankOf(upstreamId, presence.sharingIds) + presence.unknownCount < remainder ? share + 1 : share
  }
}
