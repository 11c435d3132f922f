/**
 * Selects the upstream for an attempt: the one with the least expected wait by this instance's own observations.
 * A straggler, and an upstream whose last attempt failed, gets one probe at a time.
 */
import type { LengthClass } from '../configuration.js'
import type { World } from '../tables.js'
import type { Outstanding } from './outstanding.js'
import type { SlotLimits } from './slot-limits.js'
import type { StragglerState, StragglerTuning } from './straggler-detector.js'
import { unsafeSkipN, xoroshiro128plus } from 'pure-rand'
import { createConfigurationIndex } from './configuration-index.js'
import { createGroupIndex } from './group-index.js'
import {
  createStragglerState, DEFAULT_STRAGGLER_TUNING, markSuspect, recordAttemptEnd, recordAttemptStart, recordCompletion, updateScore
} from './straggler-detector.js'

/** How an attempt ended. `refused`: it did not run. `failed`: it may have run. */
export type AttemptResult = 'finished' | 'refused' | 'failed' | 'cancelled'

/** Selects upstreams and learns from the attempts. Times are monotonic milliseconds. */
export interface UpstreamSelector {
  /** Upstream of the service in the zone with the least expected wait; undefined when none has a free slot. */
  readonly select: (service: string, zone: string, length: LengthClass, exclude: ReadonlySet<string>, now: number) => string | undefined
  /** An attempt was sent to the upstream. Its length is that of the last selection of this upstream. */
  readonly recordStart: (upstreamId: string, attemptId: string, now: number) => void
  /** The attempt ended. */
  readonly recordEnd: (upstreamId: string, attemptId: string, result: AttemptResult, now: number) => void
  /** Service time that an attempt is expected to take, in milliseconds. */
  readonly expectedServiceMs: (service: string, length: LengthClass) => number
}

/** What the selector works on. */
export interface UpstreamSelectorOptions {
  readonly world: World
  readonly slots: SlotLimits
  readonly outstanding: Outstanding
  /** Seed of the generator that breaks ties. */
  readonly seed: number
  readonly tuning?: SelectorTuning
}

/** Constants of the selector. The defaults were selected with the trial in `packages/bench/src/selector`. */
export interface SelectorTuning extends StragglerTuning {
  /** Factor on the expected wait per unit of the straggler score. */
  readonly scoreWeight: number
  /** Share of a zone's upstreams above which suspicion no longer excludes any, because the whole service is slow. */
  readonly maxSuspectShare: number
}

export const DEFAULT_SELECTOR_TUNING: SelectorTuning = { ...DEFAULT_STRAGGLER_TUNING, scoreWeight: 2, maxSuspectShare: 0.5 }

type ServiceTimes = { [L in LengthClass]: number }

interface StartedAttempt {
  readonly upstreamId: string
  readonly service: string
  readonly length: LengthClass
  readonly startedAt: number
  /** `suspectSince` of the upstream if the attempt is a probe. */
  readonly probeOf: number | undefined
}

interface UpstreamState extends StragglerState {
  lastSelectedLength: LengthClass
  /** Refusals and failures since the last completion; those during a pause count as one. */
  backoffs: number
  /** No selection before this time, after refusals and failures. */
  backoffUntil: number
}

/** Service times that are assumed before any was observed, in milliseconds. */
const INITIAL_SERVICE_MS: Readonly<ServiceTimes> = { short: 20, long: 1_000 }
/** Weight of one completion in the moving mean of a service. */
const SERVICE_MEAN_WEIGHT = 1 / 200
/** A sample counts as at most this many times the service's mean, so that stragglers do not move it much. */
const MAX_SAMPLE_TO_MEAN_RATIO = 4
/** Least and longest pause after a refusal or failure. It starts at one usual service time and doubles each time. */
const MIN_BACKOFF_MS = 10
const MAX_BACKOFF_MS = 1_000
const MAX_BACKOFF_DOUBLINGS = 10
/** Upstreams compared in one selection. */
const MAX_COMPARED_UPSTREAMS = 64
/** State is dropped for upstreams that are no longer listed when there are more rows than this. */
const MAX_STATES_BEFORE_PRUNE = 1_000

/** The generator's first values are alike for seeds that are close, so that instances would break ties alike. */
const SKIPPED_RANDOM_VALUES = 128

/** Creates the selector of one instance. */
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

  /** Share of the slots for long work; `undefined` where the service has no short work to keep slots for. */
  function longShareOf (service: string): number | undefined {
    const routes = configuration.service(service)?.routes ?? []
    if (routes.length > 0 && routes.every(route => route.length === 'long')) return undefined
    return configuration.rule(service)?.longShare ?? 1
  }

  /** Whether the limit admits one more attempt of this length. */
  function admits (
    upstreamId: string, length: LengthClass, limit: number, count: number, longShare: number | undefined
  ): boolean {
    if (count >= limit) return false
    if (length === 'short' || longShare === undefined) return true
    if (limit > 1 && limit - count <= 1) return false
    return outstanding.countLong(upstreamId) < Math.max(1, Math.floor(limit * longShare))
  }

  function select (service: string, zone: string, length: LengthClass, exclude: ReadonlySet<string>, now: number): string | undefined {
    const ids = upstreamsOf(`${service}@${zone}`, now)
    const serviceMeanMs = serviceTimesOf(service)
    const longShare = longShareOf(service)
    const offset = ids.length > MAX_COMPARED_UPSTREAMS ? randomBelow(ids.length) : 0
    let best: string | undefined
    let leastCost = Infinity
    let ties = 1
    let bestSuspect: string | undefined
    let leastSuspectCost = Infinity
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
      if (now < state.backoffUntil || exclude.has(id) || !admits(id, length, limit, count, longShare)) continue
      compared += 1
      const cost = (count + 1) / limit * (state.meanMs[length] ?? serviceMeanMs[length]) * (1 + tuning.scoreWeight * state.score)
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
    if (chosen !== undefined) stateOf(chosen, now).lastSelectedLength = length
    return chosen
  }

  function recordStart (upstreamId: string, attemptId: string, now: number): void {
    const service = world.upstreams.get(upstreamId)?.service
    if (service === undefined || started.has(attemptId)) return
    const state = stateOf(upstreamId, now)
    updateScore(state, serviceTimesOf(service), tuning, now)
    const length = state.lastSelectedLength
    started.set(attemptId, { upstreamId, service, length, startedAt: now, probeOf: recordAttemptStart(state, length) })
  }

  function backOff (state: UpstreamState, serviceMeanMs: number, now: number): void {
    // Attempts that end together are one piece of evidence.
    if (now < state.backoffUntil) return
    const backoffMs = Math.max(MIN_BACKOFF_MS, serviceMeanMs) * 2 ** Math.min(state.backoffs, MAX_BACKOFF_DOUBLINGS)
    state.backoffs += 1
    state.backoffUntil = now + Math.min(MAX_BACKOFF_MS, backoffMs)
  }

  function recordServiceTime (state: UpstreamState, attempt: StartedAttempt, now: number): void {
    const times = serviceTimesOf(attempt.service)
    const { length } = attempt
    const serviceMs = now - attempt.startedAt
    recordCompletion(state, length, serviceMs, times[length], tuning)
    times[length] += (Math.min(serviceMs, MAX_SAMPLE_TO_MEAN_RATIO * times[length]) - times[length]) * SERVICE_MEAN_WEIGHT
    state.backoffs = 0
    state.backoffUntil = -Infinity
  }

  function recordEnd (upstreamId: string, attemptId: string, result: AttemptResult, now: number): void {
    const attempt = started.get(attemptId)
    if (attempt === undefined) return
    started.delete(attemptId)
    const state = stateOf(upstreamId, now)
    const times = serviceTimesOf(attempt.service)
    updateScore(state, times, tuning, now)
    recordAttemptEnd(state, attempt.length, attempt.startedAt, attempt.probeOf)
    if (result === 'finished') recordServiceTime(state, attempt, now)
    if (result === 'refused' || result === 'failed') backOff(state, times.short, now)
    if (result === 'failed') {
      markSuspect(state, tuning, now)
      slots.recordFailure?.(upstreamId, now)
    }
  }

  return { select, recordStart, recordEnd, expectedServiceMs: (service, length) => serviceTimesOf(service)[length] }
}
