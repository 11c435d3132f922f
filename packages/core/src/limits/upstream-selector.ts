/**
 * Selects the upstream for an attempt: the one with the least expected wait by this instance's own observations.
 * A straggler, and an upstream whose last attempt failed, gets one probe at a time.
 */
import type { LengthClass } from '../configuration.js'
import type { World } from '../tables.js'
import type { Outstanding } from './outstanding.js'
import type { SlotLimits } from './slot-limits.js'
import type { Pace, StragglerTuning } from './straggler-detector.js'
import { unsafeSkipN, xoroshiro128plus } from 'pure-rand'
import { createConfigurationIndex } from './configuration-index.js'
import { createGroupIndex } from './group-index.js'
import { advancePace, completePace, createPace, endPace, startPace, STRAGGLER_TUNING, suspectPace } from './straggler-detector.js'

/** How an attempt ended. `refused`: it did not run. `failed`: it may have run. */
export type AttemptEnd = 'finished' | 'refused' | 'failed' | 'cancelled'

/** Selects upstreams and learns from the attempts. Times are monotonic milliseconds. */
export interface UpstreamSelector {
  /** Upstream of the service in the zone with the least expected wait; undefined when none has a free slot. */
  readonly select: (service: string, zone: string, length: LengthClass, exclude: ReadonlySet<string>, now: number) => string | undefined
  /** An attempt was sent to the upstream. Its length is that of the last selection of this upstream. */
  readonly recordStart: (upstreamId: string, attemptId: string, now: number) => void
  /** The attempt ended. */
  readonly recordEnd: (upstreamId: string, attemptId: string, ended: AttemptEnd, now: number) => void
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
  readonly suspectShare: number
}

export const SELECTOR_TUNING: SelectorTuning = { ...STRAGGLER_TUNING, scoreWeight: 2, suspectShare: 0.5 }

type ServiceTimes = { [L in LengthClass]: number }

interface Started {
  readonly upstreamId: string
  readonly service: string
  readonly length: LengthClass
  readonly at: number
  /** `suspectSince` of the upstream if the attempt is a probe. */
  readonly probeOf: number | undefined
}

interface Row extends Pace {
  lastLength: LengthClass
  /** Refusals and failures since the last completion; those during a pause count as one. */
  failures: number
  /** No selection before this time, after refusals and failures. */
  heldUntil: number
}

/** Service times that are assumed before any was observed, in milliseconds. */
const INITIAL_SERVICE_MS: Readonly<ServiceTimes> = { short: 20, long: 1_000 }
/** Weight of one completion in the moving mean of a service. */
const SERVICE_WEIGHT = 1 / 200
/** A sample counts as at most this many times the service's mean, so that stragglers do not move it much. */
const SERVICE_CLIP = 4
/** Least and longest pause after a refusal or failure. It starts at one usual service time and doubles each time. */
const HOLD_LEAST_MS = 10
const HOLD_MOST_MS = 1_000
const HOLD_DOUBLINGS = 10
/** Upstreams compared in one selection. */
const COMPARED = 64
/** State is dropped for upstreams that are no longer listed when there are more rows than this. */
const PRUNE_AT = 1_000

/** The generator's first values are alike for seeds that are close, so that instances would break ties alike. */
const SKIPPED_VALUES = 128

/** Creates the selector of one instance. */
export function createUpstreamSelector (options: UpstreamSelectorOptions): UpstreamSelector {
  const { world, slots, outstanding, tuning = SELECTOR_TUNING } = options
  const configuration = createConfigurationIndex(world)
  const upstreamsOf = createGroupIndex(world.upstreams, row => `${row.service}@${row.zone}`)
  const generator = xoroshiro128plus(options.seed)
  unsafeSkipN(generator, SKIPPED_VALUES)
  const services = new Map<string, ServiceTimes>()
  const rows = new Map<string, Row>()
  const started = new Map<string, Started>()

  const randomBelow = (bound: number): number => (generator.unsafeNext() >>> 0) % bound

  function timesOf (service: string): ServiceTimes {
    let times = services.get(service)
    if (times === undefined) services.set(service, times = { ...INITIAL_SERVICE_MS })
    return times
  }

  function rowOf (upstreamId: string, now: number): Row {
    let row = rows.get(upstreamId)
    if (row === undefined) {
      if (rows.size >= PRUNE_AT) for (const id of rows.keys()) if (!world.upstreams.has(id)) rows.delete(id)
      row = { ...createPace(now), lastLength: 'short', failures: 0, heldUntil: -Infinity }
      rows.set(upstreamId, row)
    }
    return row
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
    const usual = timesOf(service)
    const longShare = longShareOf(service)
    const offset = ids.length > COMPARED ? randomBelow(ids.length) : 0
    let best: string | undefined
    let least = Infinity
    let ties = 1
    let bestSuspect: string | undefined
    let leastSuspect = Infinity
    let live = 0
    let suspects = 0
    let compared = 0
    for (let index = 0; index < ids.length && compared < COMPARED; index += 1) {
      const id = ids[(index + offset) % ids.length]
      const limit = slots.limit(id, now)
      if (limit === 0) continue
      const row = rowOf(id, now)
      advancePace(row, usual, tuning, now)
      live += 1
      if (row.suspect) suspects += 1
      const count = outstanding.count(id)
      if (now < row.heldUntil || exclude.has(id) || !admits(id, length, limit, count, longShare)) continue
      compared += 1
      const cost = (count + 1) / limit * (row.meanMs[length] ?? usual[length]) * (1 + tuning.scoreWeight * row.score)
      if (row.suspect && row.probes.short + row.probes.long > 0) {
        if (cost >= leastSuspect) continue
        bestSuspect = id
        leastSuspect = cost
      } else if (cost <= least) {
        ties = cost < least ? 1 : ties + 1
        if (ties > 1 && randomBelow(ties) > 0) continue
        best = id
        least = cost
      }
    }
    const chosen = best ?? (suspects > live * tuning.suspectShare ? bestSuspect : undefined)
    if (chosen !== undefined) rowOf(chosen, now).lastLength = length
    return chosen
  }

  function recordStart (upstreamId: string, attemptId: string, now: number): void {
    const service = world.upstreams.get(upstreamId)?.service
    if (service === undefined || started.has(attemptId)) return
    const row = rowOf(upstreamId, now)
    advancePace(row, timesOf(service), tuning, now)
    const length = row.lastLength
    started.set(attemptId, { upstreamId, service, length, at: now, probeOf: startPace(row, length) })
  }

  function hold (row: Row, usualMs: number, now: number): void {
    // Attempts that end together are one piece of evidence.
    if (now < row.heldUntil) return
    const pause = Math.max(HOLD_LEAST_MS, usualMs) * 2 ** Math.min(row.failures, HOLD_DOUBLINGS)
    row.failures += 1
    row.heldUntil = now + Math.min(HOLD_MOST_MS, pause)
  }

  function finish (row: Row, attempt: Started, now: number): void {
    const times = timesOf(attempt.service)
    const { length } = attempt
    const serviceMs = now - attempt.at
    completePace(row, length, serviceMs, times[length], tuning)
    times[length] += (Math.min(serviceMs, SERVICE_CLIP * times[length]) - times[length]) * SERVICE_WEIGHT
    row.failures = 0
    row.heldUntil = -Infinity
  }

  function recordEnd (upstreamId: string, attemptId: string, ended: AttemptEnd, now: number): void {
    const attempt = started.get(attemptId)
    if (attempt === undefined) return
    started.delete(attemptId)
    const row = rowOf(upstreamId, now)
    const times = timesOf(attempt.service)
    advancePace(row, times, tuning, now)
    endPace(row, attempt.length, attempt.at, attempt.probeOf)
    if (ended === 'finished') finish(row, attempt, now)
    if (ended === 'refused' || ended === 'failed') hold(row, times.short, now)
    if (ended === 'failed') {
      suspectPace(row, tuning, now)
      slots.recordFailure?.(upstreamId, now)
    }
  }

  return { select, recordStart, recordEnd, expectedServiceMs: (service, length) => timesOf(service)[length] }
}
