/**
 * Chooses the upstream for one attempt.
 *
 * An upstream that recently handled an object has its data cached and needs a fraction of the work. Sending a request
 * for the object elsewhere takes longer and caches one more copy, which makes an overload worse. The choice for
 * a request with an object is thus limited to two candidates: the first usable upstream of the object's ranking and,
 * because load often peaks in one region while others have capacity left, the first one of another region. A request
 * without an object may go to any usable upstream. The candidates are compared by load, slowdown and round-trip time.
 *
 * An object whose demand is more than one upstream can serve beside other objects is divided over the first upstreams of
 * its ranking in its region; the cheapest of these then takes the place of the first one.
 */
import type { ColdRateLimit } from './cold-rate-limit.js'
import type { PlacementKind } from './command.js'
import type { ObjectCopies } from './object-copies.js'
import type { ObjectPopularity } from './object-popularity.js'
import type { Ranking, RankingQuery } from './ranking.js'
import type { RequestLimit } from './request-limit.js'
import type { MovePreference, RegionShiftLimit } from './region-shift-limit.js'
import type { Upstream } from './upstream.js'
import type { UpstreamTable } from './upstream-table.js'
import type { ZoneRoundTrips } from './zone-round-trips.js'
import { estimateLoad, estimateSlowdown, estimateWaitMs } from './load-estimate.js'

/** What an attempt needs. */
export interface PlacementQuery {
  readonly service: string
  readonly objectKey: string | undefined
  /** Whether an upstream that recently handled the object needs less work. If not, any upstream may be chosen. */
  readonly hasAffinity: boolean
  /** Only upstreams of these regions may be chosen; empty for all regions. */
  readonly homeRegions: readonly string[]
  /** Ids of upstreams that this request was already sent to. */
  readonly tried: ReadonlySet<string>
  /** Usual duration of the work for a request of the route, without the round trip, in milliseconds. */
  readonly expectedWorkMs: number
}

/** An upstream that may be chosen, with the estimates that it is compared by. */
export interface Candidate {
  readonly upstream: Upstream
  /** Position among the candidates, from 0. */
  readonly rank: number
  readonly kind: PlacementKind
  /** The upstream is in another region than the first candidate. */
  readonly isElsewhere: boolean
  /** Expected time until the answer, in milliseconds: round trip, work and wait for a slot. */
  readonly expectedMs: number
  /** Expected time plus the delay that the request causes for later ones, in milliseconds. */
  readonly costMs: number
  /** Estimated number of requests that run or wait at the upstream. */
  readonly load: number
  /** Age of the upstream's newest load report, in milliseconds. */
  readonly loadAgeMs: number
  /** Estimated duration of work relative to the usual duration. */
  readonly slowdown: number
}

export interface Placement {
  /** The best upstream; `undefined` if none may be used. */
  readonly choose: (query: PlacementQuery, now: number) => Candidate | undefined
}

export interface PlacementDependencies {
  readonly upstreams: UpstreamTable
  readonly ranking: Ranking
  readonly popularity: ObjectPopularity
  readonly copies: ObjectCopies
  readonly coldRateLimit: ColdRateLimit
  readonly requestLimit: RequestLimit
  readonly roundTrips: ZoneRoundTrips
  readonly regionShiftLimit: RegionShiftLimit
  readonly isEvacuated: (zone: string) => boolean
  readonly upstreamLimitsOf: (service: string) => UpstreamLimits
}

/** Limits that apply to each single upstream of a service. */
export interface UpstreamLimits {
  /** Requests per second that a cold upstream may get from all instances together. */
  readonly totalColdRequestsPerSecond: number
  /** Connections that this instance alone may hold to an upstream; each outstanding request needs one. */
  readonly instanceMaxConnections: number
}

/** Expected work at the second candidate relative to the first, which is more likely to have the object cached. */
const SECOND_CANDIDATE_WORK_FACTOR = 1.25
/** Upstreams of the region that are compared for one request. More of them would take too long. */
const MAX_COMPARED = 8
/** Upstreams of the region that are compared for a request without affinity. */
const COMPARED_WITHOUT_AFFINITY = 4
/** Keys that stand for the object of requests without affinity, in turn. Many, so that each upstream is a candidate of some. */
const SPREAD_KEYS = 1_024
/** Time for which the number of usable upstreams of a region is kept, in milliseconds. */
const COUNT_REUSE_MS = 100
/** Upstreams that may be chosen, and the one that would have been preferred to them without its request limit. */
interface Selection { readonly candidates: readonly Upstream[], readonly passedOver: Upstream | undefined }
/** Upstreams of one region over which an object is divided, and the first usable one of another region. */
interface Division { readonly near: readonly Upstream[], readonly elsewhere: Upstream | undefined, readonly passedOver: Upstream | undefined }
/** The shortlist of an object, and the query for its whole ranking. */
interface RankedUpstreams { readonly rankingQuery: RankingQuery, readonly shortlist: readonly Upstream[] }
interface RegionCount { readonly usable: number, readonly countedAt: number }

/** Cost of a wait relative to its length: a request that joins a queue also delays later requests. */
const WAIT_COST_FACTOR = 3
/**
 * Longest expected time at the second candidate, relative to the first, at which a request may move without a gain.
 * The region shift limit moves such requests while it lowers the moved share step by step.
 */
const MAX_MOVE_DURATION_RATIO = 2

/** `move` if the second candidate's region is cheaper, `stay` if it is not, `must-stay` if it is also much slower. */
function movePreference (first: Candidate, second: Candidate): MovePreference {
  if (second.costMs < first.costMs) return 'move'
  return second.expectedMs <= MAX_MOVE_DURATION_RATIO * first.expectedMs ? 'stay' : 'must-stay'
}

export function createPlacement (dependencies: PlacementDependencies): Placement {
  const { upstreams, ranking, popularity, copies, coldRateLimit, requestLimit, roundTrips, regionShiftLimit } = dependencies
  const usableCounts = new Map<string, Map<string, RegionCount>>()
  let spreadCount = 0
  let divisionCount = 0

  function isUsable (upstream: Upstream, query: PlacementQuery, { instanceMaxConnections }: UpstreamLimits, now: number): boolean {
    const { entry } = upstream
    return entry.state === 'ready' && !upstream.isLeaving && upstream.pausedUntil <= now && !query.tried.has(upstream.id) && upstream.outstanding < instanceMaxConnections && !dependencies.isEvacuated(entry.zone) &&
      (query.homeRegions.length === 0 || query.homeRegions.includes(upstream.region))
  }

  function evaluate (upstream: Upstream, rank: number, query: PlacementQuery, now: number): Candidate {
    const slowdown = estimateSlowdown(upstream, now)
    const workMs = query.expectedWorkMs * slowdown * (query.objectKey === undefined || rank === 0 ? 1 : SECOND_CANDIDATE_WORK_FACTOR)
    const waitMs = estimateWaitMs(upstream, workMs, now)
    const expectedMs = roundTrips.roundTripMs(upstream.entry.zone, upstream.region) + workMs + waitMs
    return {
      upstream,
      rank,
      kind: 'ranked',
      isElsewhere: false,
      expectedMs,
      costMs: expectedMs + (WAIT_COST_FACTOR - 1) * waitMs,
      load: estimateLoad(upstream, now),
      loadAgeMs: now - upstream.reportedAt,
      slowdown
    }
  }

  /**
   * For a request with an object, the first usable upstream and the first one of another region or, if there is none,
   * the second one of the same region. For a request without an object, all usable upstreams. A suspect upstream is
   * returned only if there is no other.
   */
  function findCandidates (query: PlacementQuery, ranked: RankedUpstreams | undefined, now: number): Selection {
    if (ranked === undefined) return selectCandidates(upstreams.ofService(query.service), query, now)
    const { rankingQuery, shortlist } = ranked
    const found = selectCandidates(shortlist, query, now)
    // The rest of the first region is preferred to other regions, and a suspect upstream is the last resort.
    const [first] = found.candidates
    const isSufficient = first !== undefined && first.region === shortlist[0].region && first.suspectSince === undefined
    return isSufficient || shortlist.length === rankingQuery.upstreams.length ? found : selectCandidates(ranking.rank(rankingQuery), query, now)
  }

  /** The candidates among `ranked`, which is in the order of preference if the request has an object. */
  function selectCandidates (ranked: readonly Upstream[], query: PlacementQuery, now: number): Selection {
    const limits = dependencies.upstreamLimitsOf(query.service)
    const found: Upstream[] = []
    let suspect: Upstream | undefined
    let passedOver: Upstream | undefined
    for (const upstream of ranked) {
      if (!isUsable(upstream, query, limits, now) || !coldRateLimit.allows(upstream, limits.totalColdRequestsPerSecond, now)) continue
      if (!requestLimit.allows(upstream, now)) {
        if (found.length === 0) passedOver ??= upstream
        continue
      }
      if (upstream.suspectSince !== undefined) suspect ??= upstream
      else found.push(upstream)
      if (query.objectKey !== undefined && found.length > 1 && upstream.region !== found[0].region) break
    }
    if (found.length === 0) return { candidates: suspect === undefined ? [] : [suspect], passedOver }
    if (query.objectKey === undefined || found.length === 1) return { candidates: found, passedOver }
    const last = found[found.length - 1]
    return { candidates: [found[0], last.region === found[0].region ? found[1] : last], passedOver }
  }

  /** Number of upstreams of a region that can take requests now. */
  function countUsable (service: string, region: string, now: number): number {
    let counts = usableCounts.get(service)
    if (counts === undefined) usableCounts.set(service, counts = new Map())
    const known = counts.get(region)
    if (known !== undefined && now - known.countedAt < COUNT_REUSE_MS) return known.usable
    let usable = 0
    for (const { entry, isLeaving, pausedUntil, suspectSince, region: itsRegion } of upstreams.ofService(service)) {
      if (itsRegion === region && entry.state === 'ready' && !isLeaving && pausedUntil <= now && suspectSince === undefined && !dependencies.isEvacuated(entry.zone)) usable += 1
    }
    counts.set(region, { usable, countedAt: now })
    return usable
  }

  /**
   * The upstreams that an object is divided over: up to `MAX_COMPARED` of the first `count` of its ranking, which are in its
   * region. Each request starts at another of them, so that all are used and equal ones get equally many requests.
   * `undefined` if fewer than two are usable.
   */
  function divide (ranked: readonly Upstream[], query: PlacementQuery, count: number, now: number): Division | undefined {
    const limits = dependencies.upstreamLimitsOf(query.service)
    const [{ region }] = ranked
    let inRegion = 0
    while (inRegion < count && ranked[inRegion]?.region === region) inRegion += 1
    const near: Upstream[] = []
    let passedOver: Upstream | undefined
    const accepts = (upstream: Upstream): boolean => upstream.suspectSince === undefined && isUsable(upstream, query, limits, now) && coldRateLimit.allows(upstream, limits.totalColdRequestsPerSecond, now)
    divisionCount += 1
    for (let index = 0; index < inRegion && near.length < MAX_COMPARED; index += 1) {
      const upstream = ranked[(divisionCount + index) % inRegion]
      if (!accepts(upstream)) continue
      if (requestLimit.allows(upstream, now)) near.push(upstream)
      else if (near.length === 0) passedOver ??= upstream
    }
    if (near.length < 2) return undefined
    const elsewhere = ranked.find(upstream => upstream.region !== region && accepts(upstream) && requestLimit.allows(upstream, now))
    return { near, elsewhere, passedOver }
  }

  /** The division of a popular object, or of a request without affinity; `undefined` if the request is placed by rank. */
  function findDivision (query: PlacementQuery, { rankingQuery, shortlist }: RankedUpstreams, now: number): Division | undefined {
    const { service, hasAffinity } = query
    const { objectKey } = rankingQuery
    if (shortlist.length === 0) return undefined
    if (!hasAffinity) return divide(shortlist, query, COMPARED_WITHOUT_AFFINITY, now)
    const usable = countUsable(service, shortlist[0].region, now)
    const count = Math.min(usable, copies.countFor(service, objectKey, popularity.shareOf(service, objectKey, now) * usable, now))
    if (count < 2) return undefined
    return divide(count > MAX_COMPARED ? ranking.rank(rankingQuery) : shortlist, query, count, now)
  }

  /** The cheapest upstream of a division, all taken to have the object, compared with the one of another region. */
  function chooseDivided (query: PlacementQuery, { near, elsewhere, passedOver }: Division, now: number): Candidate {
    if (passedOver !== undefined) requestLimit.recordPassedOver(passedOver, now)
    const kind = query.hasAffinity ? 'divided' : 'spread'
    const best = near.map(upstream => evaluate(upstream, 0, query, now)).reduce((cheapest, candidate) => candidate.costMs < cheapest.costMs ? candidate : cheapest)
    if (elsewhere === undefined) return { ...best, kind }
    const other = evaluate(elsewhere, 1, query, now)
    return regionShiftLimit.shouldMove(query.service, movePreference(best, other), now) ? { ...other, kind, isElsewhere: true } : { ...best, kind }
  }

  function rank ({ service, homeRegions }: PlacementQuery, objectKey: string): RankedUpstreams {
    const rankingQuery = { service, objectKey, homeRegions, upstreams: upstreams.ofService(service), version: upstreams.version() }
    return { rankingQuery, shortlist: ranking.shortlist(rankingQuery) }
  }

  /** Key that selects the candidates: the object or, without affinity, the next of the spread keys. */
  function candidateKey ({ objectKey, hasAffinity }: PlacementQuery): string | undefined {
    if (hasAffinity || objectKey === undefined) return objectKey
    spreadCount = (spreadCount + 1) % SPREAD_KEYS
    return `spread ${spreadCount}`
  }

  /** The choice by the object's ranking, or among all upstreams for a request without an object. */
  function chooseRanked (query: PlacementQuery, ranked: RankedUpstreams | undefined, now: number): Candidate | undefined {
    const selection = findCandidates(query, ranked, now)
    // Without an object, no upstream is preferred before the candidates are compared.
    if (selection.passedOver !== undefined && query.objectKey !== undefined) requestLimit.recordPassedOver(selection.passedOver, now)
    const candidates = selection.candidates.map((upstream, rank) => evaluate(upstream, rank, query, now))
    const [first, second] = candidates
    if (query.objectKey !== undefined && second !== undefined && second.upstream.region !== first.upstream.region) {
      return regionShiftLimit.shouldMove(query.service, movePreference(first, second), now) ? { ...second, isElsewhere: true } : first
    }
    return candidates.reduce<Candidate | undefined>((best, candidate) => best === undefined || candidate.costMs < best.costMs ? candidate : best, undefined)
  }

  return {
    choose: (query, now) => {
      const { service, objectKey, hasAffinity, tried } = query
      // Further attempts of a request are not demand of its caller.
      if (tried.size === 0) popularity.record(service, hasAffinity ? objectKey : undefined, now)
      const key = candidateKey(query)
      const ranked = key === undefined ? undefined : rank(query, key)
      const division = ranked === undefined ? undefined : findDivision(query, ranked, now)
      return division === undefined ? chooseRanked(query, ranked, now) : chooseDivided(query, division, now)
    }
  }
}
