/**
 * Ranks the upstreams of a service for an object: first those of the region that the object is assigned to, then the
 * others, each by rendezvous hashing. The instances of a region compute the same order without talking to each other,
 * and a change of one upstream moves only that upstream's objects. Keeping an object on the first upstreams of its
 * ranking keeps its data warm there.
 */
import type { RegionShares } from './region-share.js'
import type { Upstream } from './upstream.js'
import { hash32 } from '@arbutustray/core'
import { regionAt, computeRegionShares } from './region-share.js'

export interface RankingQuery {
  readonly service: string
  readonly objectKey: string
  /** Regions that may serve; empty for all. */
  readonly regions: readonly string[]
  /** All upstreams of the service. */
  readonly upstreams: readonly Upstream[]
  /** Changes whenever `upstreams` does. */
  readonly version: number
}

export interface Ranking {
  /** Upstreams of the service, best first for the object. The array is shared and must not be changed. */
  readonly rank: (query: RankingQuery) => readonly Upstream[]
}

/** Rankings that are kept. Above this, all are forgotten; a ranking is cheap to compute again. */
const MAX_CACHED_RANKINGS = 20_000

const HASH_RANGE = 2 ** 32
const REGION_SEED = hash32('region')

/** Mixes two 32-bit hashes into one. */
function mixHashes (a: number, b: number): number {
  let hash = Math.imul(a ^ b ^ (b >>> 15), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

export function createRanking (own: string, callerRegions: readonly string[]): Ranking {
  const cache = new Map<string, readonly Upstream[]>()
  const shares = new Map<string, RegionShares>()
  let cachedVersion = -1

  function sharesOf ({ service, regions, upstreams }: RankingQuery): RegionShares {
    const key = `${service}\n${regions.join()}`
    let found = shares.get(key)
    if (found === undefined) {
      const slots = new Map<string, number>()
      for (const { region, entry } of upstreams) {
        if (regions.length === 0 || regions.includes(region)) slots.set(region, (slots.get(region) ?? 0) + entry.slots)
      }
      found = computeRegionShares(own, slots, callerRegions)
      shares.set(key, found)
    }
    return found
  }

  function compute (query: RankingQuery): readonly Upstream[] {
    const seed = hash32(query.objectKey)
    const region = regionAt(sharesOf(query), mixHashes(seed, REGION_SEED) / HASH_RANGE)
    return query.upstreams
      .map(upstream => ({ upstream, score: mixHashes(seed, upstream.idHash) + (upstream.region === region ? HASH_RANGE : 0) }))
      .sort((a, b) => b.score - a.score)
      .map(({ upstream }) => upstream)
  }

  return {
    rank: query => {
      if (query.version !== cachedVersion || cache.size > MAX_CACHED_RANKINGS) {
        cache.clear()
        shares.clear()
        cachedVersion = query.version
      }
      const key = `${query.service}\n${query.objectKey}\n${query.regions.join()}`
      let ranked = cache.get(key)
      if (ranked === undefined) {
        ranked = compute(query)
        cache.set(key, ranked)
      }
      return ranked
    }
  }
}
