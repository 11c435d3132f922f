/**
 * Divides the slots of an upstream among the entry instances of its zone. Every instance computes its own share from
 * the same inputs, so the shares add up to at most the slots.
 */
import { createHash } from 'node:crypto'
import type { Presence } from './zone-presence.js'

/** Gives the share of this instance in an upstream's slots. */
export type SlotShare = (upstreamId: string, slots: number, configuredInstances: number, presence: Presence) => number

interface CachedRank {
  readonly members: readonly string[]
  readonly rank: number
}

/** Shares are cached by upstream; the cache is emptied at this size, which bounds it when upstreams are replaced. */
const MAX_CACHED_RANKS = 10_000

function rendezvousWeight (upstreamId: string, instanceId: string): string {
  return createHash('sha256').update(`${upstreamId}\n${instanceId}`).digest('hex')
}

function rankAmong (members: readonly string[], upstreamId: string, selfId: string): number {
  const ownWeight = rendezvousWeight(upstreamId, selfId)
  return members.filter(id => id !== selfId && rendezvousWeight(upstreamId, id) > ownWeight).length
}

/** Creates the division for one instance. */
export function createSlotShare (selfId: string): SlotShare {
  const cache = new Map<string, CachedRank>()

  function rankOf (upstreamId: string, members: readonly string[]): number {
    const cached = cache.get(upstreamId)
    if (cached?.members === members) return cached.rank
    if (cache.size >= MAX_CACHED_RANKS) cache.clear()
    const rank = rankAmong(members, upstreamId, selfId)
    cache.set(upstreamId, { members, rank })
    return rank
  }

  return (upstreamId, slots, configuredInstances, presence) => {
    // More members than configured occur while an instance is replaced; each must then take less.
    const divisor = Math.max(1, configuredInstances, presence.members.length)
    const remainder = slots % divisor
    const share = Math.floor(slots / divisor)
    if (remainder === 0) return share
    // Instances of unknown id could have any rank, so they are counted in front of this one.
    return rankOf(upstreamId, presence.members) + presence.unknownCount < remainder ? share + 1 : share
  }
}
