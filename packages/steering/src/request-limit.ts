/**
 * Keeps the requests to an upstream within the limit that it states for all instances together. Each instance sends at
 * its part of the limit: its own demand for the upstream relative to the demand of all. Demand, not an equal division,
 * because most requests for an upstream come from the few instances of one region.
 *
 * Instances report their demand to each other. Where one is not known, it counts as the mean of the others, so that the
 * parts add up to about the limit also when an instance hears only from some. Load pattern: an upstream in need that is
 * the first choice of several instances at once, and a burst that reaches all of them at once.
 */
import type { InstanceShare } from './instance-share.js'
import type { LimitState, Upstream, UpstreamDemand } from './upstream.js'
import type { UpstreamTable } from './upstream-table.js'
import { hash32 } from '@arbutustray/core'

export interface RequestLimit {
  /** Records the limit that an answer states; `undefined` ends the limit. Returns whether a limit begins or ends. */
  readonly recordStatement: (upstream: Upstream, perSecond: number | undefined, now: number) => boolean
  /** Whether this instance may start one more attempt at the upstream. Always true without a limit. */
  readonly allows: (upstream: Upstream, now: number) => boolean
  /** Counts a request that preferred the upstream but went elsewhere because of the limit. */
  readonly recordPassedOver: (upstream: Upstream, now: number) => void
  /** Counts the start of an attempt. */
  readonly recordAttempt: (upstream: Upstream, now: number) => void
  /** This instance's demand for upstreams with a limit, the highest first. */
  readonly demands: (now: number) => readonly UpstreamDemand[]
  /** Replaces what another instance reported. */
  readonly recordPeerDemands: (peerId: string, demands: readonly UpstreamDemand[], now: number) => void
}

/** What another instance has reported of its demand. */
interface Report {
  readonly demands: ReadonlyMap<string, number>
  /** The most that its demand for an upstream not listed can be, in requests per second: above 0 if the report is full. */
  readonly unlisted: number
  readonly receivedAt: number
}

/** Time over which demand is averaged, in milliseconds. */
const DEMAND_AVERAGE_MS = 2_000
/** Interval at which an instance records its own demand, in milliseconds: it hears of the others' about as late. */
const RECORD_INTERVAL_MS = 500
/** Growth of its own demand that an instance acts on before the others can know it: relative to the record, and in equal parts of the limit. */
const MAX_DEMAND_RISE = { FACTOR: 1.5, EQUAL_PARTS: 0.5 } as const
/** Added to each instance's demand, so that one without demand still learns when the limit ends. */
const MIN_DEMAND_PER_SECOND = 0.05
/** Unused allowance is kept for this time, in milliseconds, or for one request if that is more. */
const ALLOWANCE_LIFE_MS = 750
const PART_LIFE_MS = 250
/** Time after which another instance's report counts as unknown; in a large deployment each is polled in turn. */
const REPORT_LIFE_MS = 40_000
/** Limit on the upstreams in one report, which the highest demands fill. */
const MAX_REPORTED = 256
const MS_PER_SECOND = 1_000
const HASH_RANGE = 2 ** 32

export function createRequestLimit (self: string, share: Pick<InstanceShare, 'count' | 'includes'>, upstreams: Pick<UpstreamTable, 'limited' | 'markLimited'>): RequestLimit {
  const reports = new Map<string, Report>()

  function demandOf (state: LimitState, now: number): number {
    return state.demand * Math.exp((state.demandAt - now) / DEMAND_AVERAGE_MS)
  }

  function addDemand (state: LimitState, now: number): void {
    state.demand = demandOf(state, now) + MS_PER_SECOND / DEMAND_AVERAGE_MS
    state.demandAt = now
  }

  /** Demand of all instances for the upstream. */
  function totalDemand (upstreamId: string, own: number, now: number): number {
    let sum = own
    let known = 1
    for (const [peerId, { demands, unlisted, receivedAt }] of reports) {
      if (now - receivedAt > REPORT_LIFE_MS || !share.includes(peerId)) reports.delete(peerId)
      else {
        sum += demands.get(upstreamId) ?? unlisted
        known += 1
      }
    }
    return sum * Math.max(1, share.count() / known)
  }

  /**
   * The instance's own demand, with a limit on its growth since a while ago. The parts would add up to more than the limit if
   * each instance saw the begin of a burst in its own demand before that of the others.
   */
  function settledDemand (state: LimitState, now: number): number {
    const demand = demandOf(state, now)
    if (now - state.recordedAt >= RECORD_INTERVAL_MS) {
      state.earlierDemands = [state.earlierDemands[1], demand]
      state.recordedAt = now
    }
    return Math.min(demand, MAX_DEMAND_RISE.FACTOR * state.earlierDemands[0] + MAX_DEMAND_RISE.EQUAL_PARTS * state.perSecond / share.count())
  }

  function partOf (upstreamId: string, state: LimitState, now: number): number {
    if (now - state.partAt >= PART_LIFE_MS) {
      const all = totalDemand(upstreamId, demandOf(state, now), now) + share.count() * MIN_DEMAND_PER_SECOND
      state.part = state.perSecond * (settledDemand(state, now) + MIN_DEMAND_PER_SECOND) / all
      state.partAt = now
    }
    return state.part
  }

  function allowanceOf (upstreamId: string, state: LimitState, now: number): number {
    const part = partOf(upstreamId, state, now)
    const max = Math.max(1, part * ALLOWANCE_LIFE_MS / MS_PER_SECOND)
    state.allowance = Math.min(max, state.allowance + part * (now - state.allowanceAt) / MS_PER_SECOND)
    state.allowanceAt = now
    return state.allowance
  }

  return {
    recordStatement: (upstream, perSecond, now) => {
      const state = upstream.requestLimit
      if (perSecond === undefined) {
        if (state === undefined) return false
        upstreams.markLimited(upstream, undefined)
        return true
      }
      if (state !== undefined) {
        state.perSecond = perSecond
        return false
      }
      // The first request of each instance comes at another time, so that many instances don't send theirs together.
      const allowance = hash32(`${upstream.id}\n${self}`) / HASH_RANGE
      upstreams.markLimited(upstream, { perSecond, allowance, allowanceAt: now, demand: 0, demandAt: now, earlierDemands: [0, 0], recordedAt: -Infinity, part: 0, partAt: -Infinity })
      return true
    },
    allows: (upstream, now) => upstream.requestLimit === undefined || allowanceOf(upstream.id, upstream.requestLimit, now) >= 1,
    recordPassedOver: (upstream, now) => {
      if (upstream.requestLimit !== undefined) addDemand(upstream.requestLimit, now)
    },
    recordAttempt: (upstream, now) => {
      if (upstream.requestLimit === undefined) return
      addDemand(upstream.requestLimit, now)
      upstream.requestLimit.allowance = allowanceOf(upstream.id, upstream.requestLimit, now) - 1
    },
    demands: now => {
      const demands = upstreams.limited().map<UpstreamDemand>(([id, state]) => [id, demandOf(state, now)])
      return demands.sort(([, a], [, b]) => b - a).slice(0, MAX_REPORTED)
    },
    recordPeerDemands: (peerId, demands, now) => {
      const unlisted = demands.length < MAX_REPORTED ? 0 : Math.min(...demands.map(([, perSecond]) => perSecond))
      reports.set(peerId, { demands: new Map(demands), unlisted, receivedAt: now })
    }
  }
}
