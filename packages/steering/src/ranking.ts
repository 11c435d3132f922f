/**
 * Ranks the upstreams of a service for an object: first those of the region that the object is assigned to, then the
 * others, both by rendezvous hashing. All instances of a region compute the same order without communication, and
 * adding or removing an upstream moves only that upstream's objects. Requests for an object go to the first upstreams
 * of its ranking, so that its data stays cached there.
 */
import type { RegionShares } from './region-share.js'
import type { Upstream } from './upstream.js'
import { hash32 } from '@arbutustray/core'
import { regionAt, computeRegionShares } from './region-share.js'

export interface RankingQuery {
  readonly service: string
  readonly objectKey: string
  /** Regions that the object may be assigned to; empty for all. Placement excludes upstreams of other regions. */
  readonly homeRegions: readonly string[]
  /** All upstreams of the service. */
  readonly upstreams: readonly Upstream[]
  /** Version of `upstreams`; cached rankings of another version are dropped. */
  readonly version: number
}

export interface Ranking {
  /** All upstreams of the service, the preferred one first. The array is cached: callers must not change it. */
  readonly rank: (query: RankingQuery) => readonly Upstream[]
  /**
   * The first few upstreams of each region, in the order of `rank`. Cheaper to compute and to keep than the whole order,
   * of which a choice rarely needs more. Cached, too.
   */
  readonly shortlist: (query: RankingQuery) => readonly Upstream[]
}

/** Number of cached rankings above which the cache is emptied; a ranking is cheap to compute again. */
const MAX_CACHED_RANKINGS = 20_000
/** Upstreams of a region in a shortlist. */
const SHORTLIST_PER_REGION = 8

const HASH_RANGE = 2 ** 32
const REGION_HASH = hash32('region')

/** Combines two 32-bit hashes into one. */
function mixHashes (a: number, b: number): number {
  let hash = Math.imul(a ^ b ^ (b >>> 15), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return (hash ^ (hash >>> 16)) >>> 0
}

interface Scored { readonly upstream: Upstream, readonly score: number }

/** Inserts into a list that is sorted by score and holds at most `SHORTLIST_PER_REGION`. */
function insertScored (list: Scored[], added: Scored): void {
  if (list.length === SHORTLIST_PER_REGION && list[list.length - 1].score >= added.score) return
  let index = list.length
  while (index > 0 && list[index - 1].score < added.score) index -= 1
  list.splice(index, 0, added)
  if (list.length > SHORTLIST_PER_REGION) list.pop()
}

/** Creates the ranking for requests of callers in `ownRegion`. Each of `configuredRegions` is taken to have callers. */
export function createRanking (ownRegion: string, configuredRegions: readonly string[]): Ranking {
  const rankings = new Map<string, readonly Upstream[]>()
  const shortlists = new Map<string, readonly Upstream[]>()
  const sharesByKey = new Map<string, RegionShares>()
  let cachedVersion = -1

  function sharesOf ({ service, homeRegions, upstreams }: RankingQuery): RegionShares {
    const key = `${service}\n${homeRegions.join()}`
    let found = sharesByKey.get(key)
    if (found === undefined) {
      const slots = new Map<string, number>()
      for (const { region, entry } of upstreams) {
        if (homeRegions.length === 0 || homeRegions.includes(region)) slots.set(region, (slots.get(region) ?? 0) + entry.slots)
      }
      found = computeRegionShares(ownRegion, slots, configuredRegions)
      sharesByKey.set(key, found)
    }
    return found
  }

  function createScore (query: RankingQuery): (upstream: Upstream) => number {
    const objectHash = hash32(query.objectKey)
    const region = regionAt(sharesOf(query), mixHashes(objectHash, REGION_HASH) / HASH_RANGE)
    return upstream => mixHashes(objectHash, upstream.idHash) + (upstream.region === region ? HASH_RANGE : 0)
  }

  function computeRanking (query: RankingQuery): readonly Upstream[] {
    const scoreOf = createScore(query)
    return query.upstreams.map(upstream => ({ upstream, score: scoreOf(upstream) }))
      .sort((a, b) => b.score - a.score)
      .map(({ upstream }) => upstream)
  }

  function computeShortlist (query: RankingQuery): readonly Upstream[] {
    const scoreOf = createScore(query)
    const bestByRegion = new Map<string, Scored[]>()
    for (const upstream of query.upstreams) {
      let best = bestByRegion.get(upstream.region)
      if (best === undefined) bestByRegion.set(upstream.region, best = [])
      insertScored(best, { upstream, score: scoreOf(upstream) })
    }
    return [...bestByRegion.values()].flat().sort((a, b) => b.score - a.score).map(({ upstream }) => upstream)
  }

  function getOrCompute (cache: Map<string, readonly Upstream[]>, query: RankingQuery, compute: (query: RankingQuery) => readonly Upstream[]): readonly Upstream[] {
    if (query.version !== cachedVersion || cache.size > MAX_CACHED_RANKINGS) {
      rankings.clear()
      shortlists.clear()
      sharesByKey.clear()
      cachedVersion = query.version
    }
    const key = `${query.service}\n${query.objectKey}\n${query.homeRegions.join()}`
    let found = cache.get(key)
    if (found === undefined) cache.set(key, found = compute(query))
    return found
  }

  return {
    rank: query => getOrCompute(rankings, query, computeRanking),
    shortlist: query => getOrCompute(shortlists, query, computeShortlist)
  }
}
