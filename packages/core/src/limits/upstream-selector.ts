/**
 * Selects the upstream for an attempt: the one with the least cost, computed from the attempts of this instance alone.
 * The cost estimates the time until the attempt ends, its own service time included. An upstream that is suspected to be
 * a straggler, because it is slow or an attempt failed there, gets one attempt at a time until it is cleared. Such an
 * attempt is called a probe; it carries an ordinary request. Refusals and failures also start an exponential backoff.
 */
import type { LengthClass } from '../configuration.js'
import type { World } from '../tables.js'
import type { OutstandingAttempts } from './outstanding-attempts.js'
import type { SlotLimits } from './slot-limits.js'
import type { StragglerState, StragglerTuning } from './straggler-detector.js'
import { unsafeSkipN, xoroshiro128plus } from 'pure-rand'
import { createConfigurationIndex } from './configuration-index.js'
import { createGroupIndex } from './group-index.js'
import {
  createStragglerState, DEFAULT_STRAGGLER_TUNING, markSuspect, recordAttemptEnd, recordAttemptStart, recordCompletion,
  updateScore
} from './straggler-detector.js'

/**
 * How an attempt ended, as far as the selector distinguishes it. `refused`: the upstream did not run it. `failed`: the
 * connection failed or the upstream may have run it.
 */
export type ReportedAttemptResult = 'finished' | 'refused' | 'failed' | 'cancelled'

/** Selects upstreams; callers report the start and end of every attempt. Times are monotonic milliseconds. */
export interface UpstreamSelector {
  /**
   * Id of the upstream of the service in the zone with the least cost. Undefined when no upstream outside `exclude` may
   * get another attempt of this length class now.
   */
  readonly select: (service: string, zone: string, lengthClass: LengthClass, exclude: ReadonlySet<string>, now: number) => string | undefined
  /**
   * Records that an attempt was sent. Its length class is that of the latest selection of this upstream, so call this
   * before the upstream is selected again.
   */
  readonly recordStart: (upstreamId: string, attemptId: string, now: number) => void
  /** Records how an attempt ended. An unknown attempt is ignored. */
  readonly recordEnd: (upstreamId: string, attemptId: string, result: ReportedAttemptResult, now: number) => void
  /** Expected service time of an attempt in milliseconds: the moving mean over all upstreams of the service. */
  readonly expectedServiceMs: (service: string, lengthClass: LengthClass) => number
}

/** Inputs of the selector. */
export interface UpstreamSelectorOptions {
  readonly world: World
  readonly slots: SlotLimits
  readonly outstanding: OutstandingAttempts
  /** Seed of the random generator that breaks ties; it should differ between instances. */
  readonly seed: number
  readonly tuning?: SelectorTuning
}

/** Parameters of the selector. `packages/bench/src/selector` simulates the selector with other values. */
export interface SelectorTuning extends StragglerTuning {
  /** Relative increase of the cost per unit of the straggler score. */
  readonly scoreWeight: number
  /**
   * Share of the zone's upstreams with a limit above 0, as a number from 0 to 1. When more than this share are
   * suspects, the whole service is slow, and suspects may be selected even while a probe is outstanding.
   */
  readonly maxSuspectShare: number
}

export const DEFAULT_SELECTOR_TUNING: SelectorTuning = { ...DEFAULT_STRAGGLER_TUNING, scoreWeight: 2, maxSuspectShare: 0.5 }

/** Moving mean of the service time by length class, in milliseconds. */
type ServiceTimes = { [L in LengthClass]: number }

/** An attempt that has not ended. */
interface StartedAttempt {
  readonly upstreamId: string
  readonly service: string
  readonly length: LengthClass
  readonly startedAt: number
  /** If the attempt is a probe, `suspectSince` of the upstream when the attempt started; else undefined. */
  readonly probeSuspectSince: number | undefined
}

/** Observations of one upstream. */
interface UpstreamState extends StragglerState {
  lastSelectedLength: LengthClass
  /** Backoffs since the last completion. */
  backoffs: number
  /** The upstream is not selected before this time. */
  backoffUntil: number
}

/** Initial value of a service's mean service times, in milliseconds. */
const INITIAL_SERVICE_MS: Readonly<ServiceTimes> = { short: 20, long: 1_000 }
/** Weight of one completion in the exponentially weighted moving mean of a service. */
const SERVICE_MEAN_WEIGHT = 1 / 200
/** A sample is clipped to this many times the service's mean, so that stragglers do not move the mean much. */
const MAX_SAMPLE_TO_MEAN_RATIO = 4
/**
 * Bounds of the backoff after a refusal or failure. It applies from the first one on, starts at the service's mean time
 * for short work and doubles. The backoff in `slot-limits` is another one, after repeated failures only.
 */
const MIN_BACKOFF_MS = 10
const MAX_BACKOFF_MS = 1_000
const MAX_BACKOFF_DOUBLINGS = 10
/** Largest number of upstreams whose costs are compared in one selection. */
const MAX_COMPARED_UPSTREAMS = 64
/** At this number of states, those of upstreams that are no longer listed are dropped. */
const MAX_STATES_BEFORE_PRUNE = 1_000

/** Leading random values that are skipped: they are similar for nearby seeds, and instances would break ties alike. */
const SKIPPED_RANDOM_VALUES = 128

/** Creates the upstream selector of one entry instance. */
export function createUpstreamSelector (options: UpstreamSelectorOptions): UpstreamSelector {
  const { world, slots, outstanding, tuning = DEFAULT_SELECTOR_TUNING } = options
  const configuration = createConfigurationIndex(world)
  const upstreamsOf = createGroupIndex(world.upstreams, row => `${row.service}@${row.zone}`)
  const generator = xoroshiro128plus(options.seed)
  unsafeSkipN(generator, SKIPPED_RANDOM_VALUES)
  const serviceTimes = new Map<string, ServiceTimes>()
  const states = new Map<string, UpstreamState>()
  const started = new Map<string, StartedAttempt>()

  const randomBelow = (bound: number): number => (generator.unsafeNext() >>> 0) % bound

  function serviceTimesOf (service: string): ServiceTimes {
    let times = serviceTimes.get(service)
    if (times === undefined) serviceTimes.set(service, times = { ...INITIAL_SERVICE_MS })
    return times
  }

  function stateOf (upstreamId: string, now: number): UpstreamState {
    let state = states.get(upstreamId)
    if (state === undefined) {
      if (states.size >= MAX_STATES_BEFORE_PRUNE) for (const id of states.keys()) if (!world.upstreams.has(id)) states.delete(id)
      state = { ...createStragglerState(now), lastSelectedLength: 'short', backoffs: 0, backoffUntil: -Infinity }
      states.set(upstreamId, state)
    }
    return state
  }

  /** Largest share of the slots for long work. Undefined when all routes are long, so that no slot is reserved. */
  function longShareOf (service: string): number | undefined {
    const routes = configuration.service(service)?.routes ?? []
    if (routes.length > 0 && routes.every(route => route.length === 'long')) return undefined
    return configuration.rule(service)?.longShare ?? 1
  }

  /**
   * Whether an upstream with `count` outstanding attempts may get one more of this length. Long work leaves the last
   * slot to short work, unless the limit is 1.
   */
  function admits (
    upstreamId: string, lengthClass: LengthClass, limit: number, count: number, longShare: number | undefined
  ): boolean {
    if (count >= limit) return false
    if (lengthClass === 'short' || longShare === undefined) return true
    if (limit > 1 && limit - count <= 1) return false
    return outstanding.countLong(upstreamId) < Math.max(1, Math.floor(limit * longShare))
  }

  function select (service: string, zone: string, lengthClass: LengthClass, exclude: ReadonlySet<string>, now: number): string | undefined {
    const ids = upstreamsOf(`${service}@${zone}`, now)
    const serviceMeanMs = serviceTimesOf(service)
    const longShare = longShareOf(service)
    const offset = ids.length > MAX_COMPARED_UPSTREAMS ? randomBelow(ids.length) : 0
    let best: string | undefined
    let leastCost = Infinity
    let ties = 1
    let bestSuspect: string | undefined
    let leastSuspectCost = Infinity
    // Upstreams with a limit above 0, also those that are excluded, full or in backoff.
    let usable = 0
    let suspects = 0
    let compared = 0
    for (let index = 0; index < ids.length && compared < MAX_COMPARED_UPSTREAMS; index += 1) {
      const id = ids[(index + offset) % ids.length]
      const limit = slots.limit(id, now)
      if (limit === 0) continue
      const state = stateOf(id, now)
      updateScore(state, serviceMeanMs, tuning, now)
      usable += 1
      if (state.suspect) suspects += 1
      const count = outstanding.count(id)
      if (now < state.backoffUntil || exclude.has(id) || !admits(id, lengthClass, limit, count, longShare)) continue
      compared += 1
      // Rounds of `limit` attempts that the attempts ahead and this one take, times the mean service time.
      const cost = (count + 1) / limit * (state.meanMs[lengthClass] ?? serviceMeanMs[lengthClass]) * (1 + tuning.scoreWeight * state.score)
      if (state.suspect && state.probes.short + state.probes.long > 0) {
        if (cost >= leastSuspectCost) continue
        bestSuspect = id
        leastSuspectCost = cost
      } else if (cost <= leastCost) {
        ties = cost < leastCost ? 1 : ties + 1
        if (ties > 1 && randomBelow(ties) > 0) continue
        best = id
        leastCost = cost
      }
    }
    const chosen = best ?? (suspects > usable * tuning.maxSuspectShare ? bestSuspect : undefined)
    if (chosen !== undefined) stateOf(chosen, now).lastSelectedLength = lengthClass
    return chosen
  }

  function recordStart (upstreamId: string, attemptId: string, now: number): void {
    const service = world.upstreams.get(upstreamId)?.service
    if (service === undefined || started.has(attemptId)) return
    const state = stateOf(upstreamId, now)
    updateScore(state, serviceTimesOf(service), tuning, now)
    const length = state.lastSelectedLength
    started.set(attemptId, { upstreamId, service, length, startedAt: now, probeSuspectSince: recordAttemptStart(state, length) })
  }

  function backOff (state: UpstreamState, serviceMeanMs: number, now: number): void {
    // Attempts that end during a backoff are evidence of the same fault, so they do not lengthen it.
    if (now < state.backoffUntil) return
    const backoffMs = Math.max(MIN_BACKOFF_MS, serviceMeanMs) * 2 ** Math.min(state.backoffs, MAX_BACKOFF_DOUBLINGS)
    state.backoffs += 1
    state.backoffUntil = now + Math.min(MAX_BACKOFF_MS, backoffMs)
  }

  function recordFinished (state: UpstreamState, attempt: StartedAttempt, now: number): void {
    const times = serviceTimesOf(attempt.service)
    const { length } = attempt
    const serviceMs = now - attempt.startedAt
    recordCompletion(state, length, serviceMs, times[length], tuning)
    times[length] += (Math.min(serviceMs, MAX_SAMPLE_TO_MEAN_RATIO * times[length]) - times[length]) * SERVICE_MEAN_WEIGHT
    state.backoffs = 0
    state.backoffUntil = -Infinity
  }

  function recordEnd (upstreamId: string, attemptId: string, result: ReportedAttemptResult, now: number): void {
    const attempt = started.get(attemptId)
    if (attempt === undefined) return
    started.delete(attemptId)
    const state = stateOf(upstreamId, now)
    const times = serviceTimesOf(attempt.service)
    updateScore(state, times, tuning, now)
    recordAttemptEnd(state, attempt.length, attempt.startedAt, attempt.probeSuspectSince)
    if (result === 'finished') recordFinished(state, attempt, now)
    if (result === 'refused' || result === 'failed') backOff(state, times.short, now)
    if (result === 'failed') {
      markSuspect(state, tuning, now)
      slots.recordFailure?.(upstreamId, now)
    }
  }

  return { select, recordStart, recordEnd, expectedServiceMs: (service, lengthClass) => serviceTimesOf(service)[lengthClass] }
}
