/**
 * Divides the slots of an upstream among the entry instances of its zone. Every instance computes its own share from
 * the same inputs, so the shares add up to at most the slots.
 */
import { createHash } from 'node:crypto'
import type { Presence } from './zone-presence.js'

/** Gives the share of this instance in an upstream's slots. */
export type SlotShare = (upstreamId: string, slots: number, configured: number, presence: Presence) => number

interface Cached {
  readonly members: readonly string[]
  readonly rank: number
}

/** Shares are cached by upstream; the cache is emptied at this size, which bounds it when upstreams are replaced. */
const CACHE_SIZE = 10_000

function weight (upstreamId: string, instanceId: string): string {
  return createHash('sha256').update(`${upstreamId}\n${instanceId}`).digest('hex')
}

function rankAmong (members: readonly string[], upstreamId: string, selfId: string): number {
  const own = weight(upstreamId, selfId)
  return members.filter(id => id !== selfId && weight(upstreamId, id) > own).length
}

/** Creates the division for one instance. */
export function createSlotShare (selfId: string): SlotShare {
  const cache = new Map<string, Cached>()

  function rankOf (upstreamId: string, members: readonly string[]): number {
    const cached = cache.get(upstreamId)
    if (cached?.members === members) return cached.rank
    if (cache.size >= CACHE_SIZE) cache.clear()
    const rank = rankAmong(members, upstreamId, selfId)
    cache.set(upstreamId, { members, rank })
    return rank
  }

  return (upstreamId, slots, configured, presence) => {
    // More members than configured occur while an instance is replaced; each must then take less.
    const parts = Math.max(1, configured, presence.members.length)
    const remainder = slots % parts
    const share = Math.floor(slots / parts)
    if (remainder === 0) return share
    // Instances of unknown id could have any rank, so they are counted in front of this one.
    return rankOf(upstreamId, presence.members) + presence.unknown < remainder ? share + 1 : share
  }
}
