/**
 * Creates the simulated upstreams of one replay and samples their load.
 */
import type { Measurements } from './measurements.js'
import type { Profile } from './profile.js'
import type { TraceOptions } from './trace.js'
import type { SimulatedUpstream } from './simulated-upstream.js'
import type { VirtualTime } from './virtual-time.js'
import { createRandom } from './random.js'
import { drawSlowPeriods } from './trace.js'
import { createSimulatedUpstream } from './simulated-upstream.js'
import { regionOf } from './profile.js'

export interface UpstreamSet {
  readonly upstreams: readonly SimulatedUpstream[]
  readonly find: (id: string) => SimulatedUpstream | undefined
}

/** Added to the seed, so that slow periods and requests are drawn from different sequences. */
const SLOW_PERIOD_SEED_OFFSET = 104_729
const SAMPLE_PERIOD_MS = 100

/** Creates the upstreams of both services, spread over the zones in turn. */
export function createUpstreamSet (time: VirtualTime, profile: Profile, options: TraceOptions, whenFull: 'shed' | 'queue'): UpstreamSet {
  const random = createRandom(options.seed + SLOW_PERIOD_SEED_OFFSET)
  const upstreams = [profile.main, profile.upload].flatMap(({ service, upstreams: count }) =>
    Array.from({ length: count }, (_, index) => createSimulatedUpstream(time, {
      id: `${service.id}-${index}`,
      service: service.id,
      zone: profile.zones[index % profile.zones.length]!,
      slots: service.slots,
      slowPeriods: drawSlowPeriods(random, options),
      whenFull
    })))
  const byId = new Map(upstreams.map(upstream => [upstream.id, upstream]))
  return { upstreams, find: id => byId.get(id) }
}

/** Returns running requests plus those shed since the last sample, divided by the slots of live upstreams. */
function relativeLoad (upstreams: readonly SimulatedUpstream[], previousShed: ReadonlyMap<string, number>): number {
  let work = 0
  let slots = 0
  for (const upstream of upstreams) {
    if (!upstream.alive()) continue
    work += upstream.running() + upstream.shed() - (previousShed.get(upstream.id) ?? 0)
    slots += upstream.slots
  }
  return slots === 0 ? 0 : work / slots
}

/** Samples the main service's headroom by zone and load by region until `untilMs`. Only region loads include shed work. */
export function sampleLoad (time: VirtualTime, profile: Profile, upstreamSet: UpstreamSet, measurements: Measurements, untilMs: number): void {
  const main = upstreamSet.upstreams.filter(upstream => upstream.service === profile.main.service.id)
  let previousShed = new Map<string, number>()
  function sample (): void {
    for (const zone of profile.zones) {
      measurements.recordSample(zone, relativeLoad(main.filter(upstream => upstream.zone === zone), new Map(main.map(row => [row.id, row.shed()]))))
    }
    for (const region of profile.regions) {
      measurements.recordRegionLoad(relativeLoad(main.filter(upstream => regionOf(profile, upstream.zone) === region), previousShed))
    }
    previousShed = new Map(main.map(upstream => [upstream.id, upstream.shed()]))
    if (time.now() + SAMPLE_PERIOD_MS < untilMs) time.after(SAMPLE_PERIOD_MS, sample)
  }
  time.after(SAMPLE_PERIOD_MS, sample)
}
