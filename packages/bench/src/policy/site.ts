/**
 * The upstreams of one replay and the samples taken from them.
 */
import type { Measures } from './measures.js'
import type { Profile } from './profile.js'
import type { TraceOptions } from './trace.js'
import type { UpstreamFake } from './upstream-fake.js'
import type { VirtualTime } from './virtual-time.js'
import { createRandom } from './random.js'
import { drawSpells } from './trace.js'
import { createUpstreamFake } from './upstream-fake.js'
import { regionOf } from './profile.js'

export interface Site {
  readonly upstreams: readonly UpstreamFake[]
  readonly find: (id: string) => UpstreamFake | undefined
}

const SPELL_SEED = 104_729
const SAMPLE_MS = 100

/** Creates the upstreams of both services, spread over the zones in turn. */
export function createSite (time: VirtualTime, profile: Profile, options: TraceOptions, whenFull: 'shed' | 'queue'): Site {
  const random = createRandom(options.seed + SPELL_SEED)
  const upstreams = [profile.main, profile.upload].flatMap(({ service, upstreams: count }) =>
    Array.from({ length: count }, (_, index) => createUpstreamFake(time, {
      id: `${service.id}-${index}`,
      service: service.id,
      zone: profile.zones[index % profile.zones.length]!,
      slots: service.slots,
      spells: drawSpells(random, options),
      whenFull
    })))
  const byId = new Map(upstreams.map(upstream => [upstream.id, upstream]))
  return { upstreams, find: id => byId.get(id) }
}

/** Share of running work, and of work shed since the last sample, against the slots. */
function loadOf (upstreams: readonly UpstreamFake[], shedBefore: ReadonlyMap<string, number>): number {
  let work = 0
  let slots = 0
  for (const upstream of upstreams) {
    if (!upstream.alive()) continue
    work += upstream.running() + upstream.shed() - (shedBefore.get(upstream.id) ?? 0)
    slots += upstream.slots
  }
  return slots === 0 ? 0 : work / slots
}

/** Samples headroom by zone and load by region of the main service until `untilMs`. */
export function sampleSite (time: VirtualTime, profile: Profile, site: Site, measures: Measures, untilMs: number): void {
  const main = site.upstreams.filter(upstream => upstream.service === profile.main.service.id)
  let shedBefore = new Map<string, number>()
  function sample (): void {
    for (const zone of profile.zones) {
      measures.recordSample(zone, loadOf(main.filter(upstream => upstream.zone === zone), new Map(main.map(row => [row.id, row.shed()]))))
    }
    for (const region of profile.regions) {
      measures.recordRegionLoad(loadOf(main.filter(upstream => regionOf(profile, upstream.zone) === region), shedBefore))
    }
    shedBefore = new Map(main.map(upstream => [upstream.id, upstream.shed()]))
    if (time.now() + SAMPLE_MS < untilMs) time.after(SAMPLE_MS, sample)
  }
  time.after(SAMPLE_MS, sample)
}
