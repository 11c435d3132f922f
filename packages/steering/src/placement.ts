/**
 * Chooses the upstream for one attempt.
 *
 * Load pattern: requests concern objects, and an upstream that handled the object lately needs a fraction of the work.
 * Under overload each request that leaves its object's upstreams takes longer there and warms one more copy, so the
 * choice is confined to two: the first usable upstream of the object's ranking and, because load often peaks in one
 * region while others have room, the first one of another region. Load, pace and distance decide between them.
 */
import type { ColdRateLimit } from './cold-rate-limit.js'
import type { Ranking } from './ranking.js'
import type { MovePreference, RegionShiftLimit } from './region-shift-limit.js'
import type { Upstream } from './upstream.js'
import type { UpstreamTable } from './upstream-table.js'
import type { ZoneRoundTrips } from './zone-round-trips.js'
import { estimateLoad, estimateSlowdown, estimateWaitMs } from './load-estimate.js'

/** What an attempt needs. */
export interface PlacementQuery {
  readonly service: string
  readonly objectKey: string | undefined
  /** Empty for all regions. */
  readonly regions: readonly string[]
  /** Upstreams that this request has already tried. */
  readonly tried: ReadonlySet<string>
  /** Usual duration of the work at a warm upstream, in milliseconds. */
  readonly expectedMs: number
}

/** An upstream and the figures that spoke for it. */
export interface Candidate {
  readonly upstream: Upstream
  /** Position among the usable upstreams of the ranking, from 0. */
  readonly rank: number
  /** Expected time until the answer, in milliseconds. */
  readonly expectedMs: number
  /** What the choice costs this request and those behind it, in milliseconds. */
  readonly costMs: number
  readonly load: number
  readonly loadAgeMs: number
  readonly slowdown: number
}

export interface Placement {
  /** The best upstream; `undefined` if none may be used. */
  readonly choose: (query: PlacementQuery, now: number) => Candidate | undefined
}

export interface PlacementDependencies {
  readonly upstreams: UpstreamTable
  readonly ranking: Ranking
  readonly cold: ColdRateLimit
  readonly distance: ZoneRoundTrips
  readonly regionShiftLimit: RegionShiftLimit
  readonly isEvacuated: (zone: string) => boolean
  readonly limitsOf: (service: string) => UpstreamLimits
}

/** Limits of each upstream of a service. */
export interface UpstreamLimits {
  /** Requests per second that a cold upstream may get from all instances. */
  readonly coldRequestsPerSecond: number
  /** Connections that this instance may hold to an upstream; each outstanding request needs one. */
  readonly maxConnections: number
}

/** Work at the second candidate relative to the first, which is likelier to be warm. */
const SECOND_CANDIDATE_WORK_FACTOR = 1.25
/** Cost of a wait relative to its length: a request that joins a queue also delays those that come after it. */
const WAIT_COST_FACTOR = 3
/** Longest expected time at the second candidate, relative to the first, for a request that does not gain by moving. */
const MAX_MOVE_DURATION_RATIO = 2

/** Whether a request should leave the first candidate's region for the second's. */
function movePreference (first: Candidate, second: Candidate): MovePreference {
  if (second.costMs < first.costMs) return 'move'
  return second.expectedMs <= MAX_MOVE_DURATION_RATIO * first.expectedMs ? 'stay' : 'must-stay'
}

export function createPlacement (parts: PlacementDependencies): Placement {
  const { upstreams, ranking, cold, distance, regionShiftLimit: shifts } = parts

  function isUsable (upstream: Upstream, query: PlacementQuery, { maxConnections: connections }: UpstreamLimits): boolean {
    const { entry } = upstream
    return entry.state === 'ready' && !query.tried.has(upstream.id) && upstream.outstanding < connections && !parts.isEvacuated(entry.zone) &&
      (query.regions.length === 0 || query.regions.includes(upstream.region))
  }

  function evaluate (upstream: Upstream, rank: number, query: PlacementQuery, now: number): Candidate {
    const pace = estimateSlowdown(upstream, now)
    const work = query.expectedMs * pace * (query.objectKey === undefined || rank === 0 ? 1 : SECOND_CANDIDATE_WORK_FACTOR)
    const wait = estimateWaitMs(upstream, work, now)
    const expectedMs = distance.roundTripMs(upstream.entry.zone, upstream.region) + work + wait
    return {
      upstream,
      rank,
      expectedMs,
      costMs: expectedMs + (WAIT_COST_FACTOR - 1) * wait,
      load: estimateLoad(upstream, now),
      loadAgeMs: now - upstream.reportedAt,
      slowdown: pace
    }
  }

  /** Upstreams of the service in the order of preference. */
  function rankUpstreams ({ service, objectKey, regions }: PlacementQuery): readonly Upstream[] {
    const rows = upstreams.ofService(service)
    return objectKey === undefined ? rows : ranking.rank({ service, objectKey, regions, upstreams: rows, version: upstreams.version() })
  }

  /**
   * The first upstream and the first one of another region, or the next one; all of them for a request without an object.
   * Upstreams that are believed to be unreachable are used only if there is no other.
   */
  function findCandidates (query: PlacementQuery, now: number): readonly Upstream[] {
    const permits = parts.limitsOf(query.service)
    const found: Upstream[] = []
    let suspect: Upstream | undefined
    for (const upstream of rankUpstreams(query)) {
      if (!isUsable(upstream, query, permits) || !cold.allows(upstream, permits.coldRequestsPerSecond, now)) continue
      if (upstream.suspectSince !== undefined) suspect ??= upstream
      else found.push(upstream)
      if (query.objectKey !== undefined && found.length > 1 && upstream.region !== found[0].region) break
    }
    if (found.length === 0) return suspect === undefined ? [] : [suspect]
    if (query.objectKey === undefined || found.length === 1) return found
    const last = found[found.length - 1]
    return [found[0], last.region === found[0].region ? found[1] : last]
  }

  return {
    choose: (query, now) => {
      const choices = findCandidates(query, now).map((upstream, rank) => evaluate(upstream, rank, query, now))
      const [first, second] = choices
      if (query.objectKey !== undefined && second !== undefined && second.upstream.region !== first.upstream.region) {
        return shifts.shouldMove(query.service, movePreference(first, second), now) ? second : first
      }
      return choices.reduce<Candidate | undefined>((best, choice) => best === undefined || choice.costMs < best.costMs ? choice : best, undefined)
    }
  }
}
