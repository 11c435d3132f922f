/**
 * Runs the replays of the policy benchmark for one user and computes its figures.
 */
import type { Measurements } from './measurements.js'
import type { Profile } from './profile.js'
import type { FaultInjection } from './replay.js'
import type { TraceOptions } from './trace.js'
import { SYSTEM_POLICY, replay } from './replay.js'
import { WARM_UP_MS } from './trace.js'
import { regionOf } from './profile.js'

export interface ScenarioOptions {
  readonly seed: number
  readonly durationMs: number
  /** Names of the baselines to run in addition to the policy under test. */
  readonly baselines: readonly string[]
}

/** Figures of one replay; times in milliseconds. */
export interface ReplayFigures {
  readonly latency: Readonly<Record<string, ReturnType<Measurements['latency']>>>
  readonly wait: Readonly<Record<string, ReturnType<Measurements['wait']>>>
  readonly refusals: Readonly<Record<string, number>>
  /** Refused requests as a share of all requests, 0 to 1. */
  readonly refusedShare: number
  readonly lost: number
  readonly headroom: ReturnType<Measurements['headroom']>
  readonly maxRegionLoad: number
}

/** Figures of one user. */
export interface UserFigures {
  /** p99 of short requests with stragglers divided by the p99 without, at load 0.6. */
  readonly stragglerRatio60: number
  /** The same at load 0.8. */
  readonly stragglerRatio80: number
  /** p99 wait of short requests with the upload service at capacity divided by that without uploads, at load 0.6. */
  readonly shortWaitRatio: number
  /** The same ratio with long work offered to a fifth of the slots of the service that runs the short requests. */
  readonly mixedWaitRatio: number
  /** Highest load of any region while the first region fails and recovers; 1 is capacity. */
  readonly maxRegionLoad: number
  /** p99 of short requests in milliseconds, by policy and setting. */
  readonly p99: Readonly<Record<string, Readonly<Record<string, number>>>>
  /** Share of refused requests under the policy under test, by setting. */
  readonly refusedShare: Readonly<Record<string, number>>
  /** Time from the drain's confirmation until the upstream is idle, and work that it started more than 3 s after it. */
  readonly drain: { readonly idleMs: number, readonly lateStarts: number }
  readonly figures: Readonly<Record<string, ReplayFigures>>
}

const REQUEST_CLASSES = ['short', 'check', 'purchase', 'upload', 'long']
/** Requests that a drained upstream starts later than this count as late starts. */
const DRAIN_START_LIMIT_MS = 3_000
const DRAIN_POLL_MS = 10

function collectFigures (measurements: Measurements): ReplayFigures {
  const refused = Object.values(measurements.refusals()).reduce((sum, count) => sum + count, 0)
  const answered = measurements.latency('short').count + measurements.latency('upload').count + measurements.latency('long').count
  const byClass = <T>(read: (className: string) => T): Readonly<Record<string, T>> =>
    Object.fromEntries(REQUEST_CLASSES.map(className => [className, read(className)]))
  return {
    latency: byClass(measurements.latency),
    wait: byClass(measurements.wait),
    refusals: measurements.refusals(),
    refusedShare: refused / Math.max(1, refused + answered + measurements.lost()),
    lost: measurements.lost(),
    headroom: measurements.headroom(),
    maxRegionLoad: measurements.maxRegionLoad()
  }
}

function traceOptions (options: ScenarioOptions, load: number, changes: Partial<TraceOptions> = {}): TraceOptions {
  const { seed, durationMs } = options
  return { seed, durationMs, load, uploadLoad: 0.5, mixedLongLoad: 0, straggling: false, ...changes }
}

/** Crashes all upstreams and entry instances of the first region for the middle third of the replay. */
function failRegion (profile: Profile, durationMs: number): FaultInjection {
  const region = profile.regions[0]!
  return ({ time, upstreamSet, fleet }) => {
    const upstreams = upstreamSet.upstreams.filter(upstream => regionOf(profile, upstream.zone) === region)
    const instances = fleet.instances.filter(instance => regionOf(profile, instance.zone) === region)
    time.after(WARM_UP_MS + durationMs / 3, () => {
      for (const instance of instances) instance.crash()
      for (const upstream of upstreams) upstream.crash()
    })
    time.after(WARM_UP_MS + durationMs * 2 / 3, () => {
      for (const upstream of upstreams) upstream.restart()
      for (const instance of instances) fleet.restart(instance)
    })
  }
}

/** Drains one upstream and polls it until it is idle. */
function measureDrain (profile: Profile, options: ScenarioOptions): UserFigures['drain'] {
  let idleMs = Infinity
  let startedInTime = 0
  let started = (): number => 0
  replay({
    profile,
    policy: SYSTEM_POLICY,
    trace: traceOptions(options, 0.6),
    faultInjection: ({ time, upstreamSet, fleet }) => {
      const upstream = upstreamSet.upstreams[0]!
      const drainAt = WARM_UP_MS + options.durationMs / 2
      started = upstream.started
      const poll = (): void => {
        if (upstream.running() === 0) idleMs = time.now() - drainAt
        else time.after(DRAIN_POLL_MS, poll)
      }
      time.after(drainAt, () => {
        fleet.updateConfiguration(configuration => ({ ...configuration, drains: [{ kind: 'upstream', target: upstream.id }] }))
        poll()
      })
      time.after(drainAt + DRAIN_START_LIMIT_MS, () => { startedInTime = upstream.started() })
    }
  })
  return { idleMs, lateStarts: started() - startedInTime }
}

/** Runs all replays of one user, reports each by `progress` and returns the figures. */
export function measureUser (profile: Profile, options: ScenarioOptions, progress: (text: string) => void): UserFigures {
  const figures: Record<string, ReplayFigures> = {}
  const p99: Record<string, Record<string, number>> = {}
  const refusedShare: Record<string, number> = {}
  const runScenario = (name: string, policy: string, trace: TraceOptions, faultInjection?: FaultInjection): ReplayFigures => {
    const result = collectFigures(replay({ profile, policy, trace, ...(faultInjection === undefined ? {} : { faultInjection }) }))
    figures[`${policy} ${name}`] = result
    p99[policy] = { ...p99[policy], [name]: result.latency.short!.p99 }
    if (policy === SYSTEM_POLICY) refusedShare[name] = result.refusedShare
    progress(`${profile.name} ${policy} ${name}: p99 ${result.latency.short!.p99.toFixed(1)} ms`)
    return result
  }
  for (const policy of [...options.baselines, SYSTEM_POLICY]) {
    for (const load of [0.6, 0.8]) {
      runScenario(`calm ${load}`, policy, traceOptions(options, load))
      runScenario(`straggling ${load}`, policy, traceOptions(options, load, { straggling: true }))
    }
  }
  const shortOnly = runScenario('short only 0.6', SYSTEM_POLICY, traceOptions(options, 0.6, { uploadLoad: 0 }))
  const withUploads = runScenario('with uploads 0.6', SYSTEM_POLICY, traceOptions(options, 0.6, { uploadLoad: 1 }))
  const withLongWork = runScenario('with long work 0.6', SYSTEM_POLICY, traceOptions(options, 0.6, { mixedLongLoad: 0.2 }))
  const lost = runScenario('region lost 0.6', SYSTEM_POLICY, traceOptions(options, 0.6), failRegion(profile, options.durationMs))
  const systemP99 = p99[SYSTEM_POLICY]!
  return {
    stragglerRatio60: systemP99['straggling 0.6']! / systemP99['calm 0.6']!,
    stragglerRatio80: systemP99['straggling 0.8']! / systemP99['calm 0.8']!,
    shortWaitRatio: withUploads.wait.short!.p99 / shortOnly.wait.short!.p99,
    mixedWaitRatio: withLongWork.wait.short!.p99 / shortOnly.wait.short!.p99,
    maxRegionLoad: lost.maxRegionLoad,
    p99,
    refusedShare,
    drain: measureDrain(profile, options),
    figures
  }
}
