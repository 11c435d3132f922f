/**
 * The replays that make up the benchmark, and the figures drawn from them.
 */
import type { Measures } from './measures.js'
import type { Profile } from './profile.js'
import type { Disturbance } from './replay.js'
import type { TraceOptions } from './trace.js'
import { SYSTEM, replay } from './replay.js'
import { WARM_UP_MS } from './trace.js'
import { regionOf } from './profile.js'

export interface ScenarioOptions {
  readonly seed: number
  readonly durationMs: number
  /** Baselines to run beside the system under test. */
  readonly baselines: readonly string[]
}

/** Figures of one replay; times in milliseconds. */
export interface Figures {
  readonly latency: Readonly<Record<string, ReturnType<Measures['latency']>>>
  readonly wait: Readonly<Record<string, ReturnType<Measures['wait']>>>
  readonly refusals: Readonly<Record<string, number>>
  /** Refused requests as a share of all, 0 to 1. */
  readonly refusedShare: number
  readonly lost: number
  readonly headroom: ReturnType<Measures['headroom']>
  readonly maxRegionLoad: number
}

/** Figures of one user. */
export interface UserFigures {
  /** p99 of short requests with slow spells against without, at 0.6 load. */
  readonly stragglerRatio60: number
  readonly stragglerRatio80: number
  /** p99 wait of short requests with the upload service at capacity against without uploads, at 0.6 load. */
  readonly shortWaitRatio: number
  /** The same with long work for a fifth of the slots of the short requests' own service. */
  readonly mixedWaitRatio: number
  /** Highest load of a region while a region fails and comes back; 1 is capacity. */
  readonly maxRegionLoad: number
  /** p99 of short requests in milliseconds, by policy and setting. */
  readonly p99: Readonly<Record<string, Readonly<Record<string, number>>>>
  /** Share of refused requests of the system under test, by setting. */
  readonly refusedShare: Readonly<Record<string, number>>
  /** Time from the drain's confirmation until the upstream is idle, and work that it started more than 3 s after. */
  readonly drain: { readonly idleMs: number, readonly lateStarts: number }
  readonly figures: Readonly<Record<string, Figures>>
}

const KINDS = ['short', 'check', 'purchase', 'upload', 'long']
const LEAVING_BOUND_MS = 3_000
const DRAIN_POLL_MS = 10

function collect (measures: Measures): Figures {
  const refused = Object.values(measures.refusals()).reduce((sum, count) => sum + count, 0)
  const answered = measures.latency('short').count + measures.latency('upload').count + measures.latency('long').count
  const byKind = <T>(read: (kind: string) => T): Readonly<Record<string, T>> =>
    Object.fromEntries(KINDS.map(kind => [kind, read(kind)]))
  return {
    latency: byKind(measures.latency),
    wait: byKind(measures.wait),
    refusals: measures.refusals(),
    refusedShare: refused / Math.max(1, refused + answered + measures.lost()),
    lost: measures.lost(),
    headroom: measures.headroom(),
    maxRegionLoad: measures.maxRegionLoad()
  }
}

function traceOptions (options: ScenarioOptions, load: number, changes: Partial<TraceOptions> = {}): TraceOptions {
  const { seed, durationMs } = options
  return { seed, durationMs, load, uploadLoad: 0.5, mixedLongLoad: 0, straggling: false, ...changes }
}

/** Loses all upstreams and entry instances of the first region for the middle third of the replay. */
function loseRegion (profile: Profile, durationMs: number): Disturbance {
  const region = profile.regions[0]!
  return ({ time, site, fleet }) => {
    const upstreams = site.upstreams.filter(upstream => regionOf(profile, upstream.zone) === region)
    const nodes = fleet.nodes.filter(node => regionOf(profile, node.zone) === region)
    time.after(WARM_UP_MS + durationMs / 3, () => {
      for (const node of nodes) node.crash()
      for (const upstream of upstreams) upstream.crash()
    })
    time.after(WARM_UP_MS + durationMs * 2 / 3, () => {
      for (const upstream of upstreams) upstream.restart()
      for (const node of nodes) fleet.restart(node)
    })
  }
}

/** Drains one upstream and watches it until it is idle. */
function measureDrain (profile: Profile, options: ScenarioOptions): UserFigures['drain'] {
  let idleMs = Infinity
  let startedInTime = 0
  let started = (): number => 0
  replay({
    profile,
    policy: SYSTEM,
    trace: traceOptions(options, 0.6),
    disturbance: ({ time, site, fleet }) => {
      const upstream = site.upstreams[0]!
      const drainAt = WARM_UP_MS + options.durationMs / 2
      started = upstream.started
      const poll = (): void => {
        if (upstream.running() === 0) idleMs = time.now() - drainAt
        else time.after(DRAIN_POLL_MS, poll)
      }
      time.after(drainAt, () => {
        fleet.configure(configuration => ({ ...configuration, drains: [{ kind: 'upstream', target: upstream.id }] }))
        poll()
      })
      time.after(drainAt + LEAVING_BOUND_MS, () => { startedInTime = upstream.started() })
    }
  })
  return { idleMs, lateStarts: started() - startedInTime }
}

/** Runs every replay of one user. */
export function measureUser (profile: Profile, options: ScenarioOptions, progress: (text: string) => void): UserFigures {
  const figures: Record<string, Figures> = {}
  const p99: Record<string, Record<string, number>> = {}
  const refusedShare: Record<string, number> = {}
  const run = (name: string, policy: string, trace: TraceOptions, disturbance?: Disturbance): Figures => {
    const result = collect(replay({ profile, policy, trace, ...(disturbance === undefined ? {} : { disturbance }) }))
    figures[`${policy} ${name}`] = result
    p99[policy] = { ...p99[policy], [name]: result.latency.short!.p99 }
    if (policy === SYSTEM) refusedShare[name] = result.refusedShare
    progress(`${profile.name} ${policy} ${name}: p99 ${result.latency.short!.p99.toFixed(1)} ms`)
    return result
  }
  for (const policy of [...options.baselines, SYSTEM]) {
    for (const load of [0.6, 0.8]) {
      run(`calm ${load}`, policy, traceOptions(options, load))
      run(`straggling ${load}`, policy, traceOptions(options, load, { straggling: true }))
    }
  }
  const apart = run('short only 0.6', SYSTEM, traceOptions(options, 0.6, { uploadLoad: 0 }))
  const uploads = run('with uploads 0.6', SYSTEM, traceOptions(options, 0.6, { uploadLoad: 1 }))
  const mixed = run('with long work 0.6', SYSTEM, traceOptions(options, 0.6, { mixedLongLoad: 0.2 }))
  const lost = run('region lost 0.6', SYSTEM, traceOptions(options, 0.6), loseRegion(profile, options.durationMs))
  const own = p99[SYSTEM]!
  return {
    stragglerRatio60: own['straggling 0.6']! / own['calm 0.6']!,
    stragglerRatio80: own['straggling 0.8']! / own['calm 0.8']!,
    shortWaitRatio: uploads.wait.short!.p99 / apart.wait.short!.p99,
    mixedWaitRatio: mixed.wait.short!.p99 / apart.wait.short!.p99,
    maxRegionLoad: lost.maxRegionLoad,
    p99,
    refusedShare,
    drain: measureDrain(profile, options),
    figures
  }
}
