/**
 * Guarantee 2 over the whole fleet: more work than all upstreams can run, and load reports that lag, are missing or
 * are wrong. Fake upstreams shed what exceeds their slots, so work above them shows as shed work.
 */
import type { Event } from '@arbutustray/core'
import type { SimulatedInstance } from '../../src/policy/simulated-instance.js'
import type { FaultInjection } from '../../src/policy/replay.js'
import { describe, expect, it } from 'vitest'
import { ASSOCIATION, regionOf } from '../../src/policy/profile.js'
import { SYSTEM_POLICY, replay } from '../../src/policy/replay.js'
import { WARM_UP_MS } from '../../src/policy/trace.js'

const DURATION_MS = 1_200
const trace = { seed: 20261204, durationMs: DURATION_MS, load: 1.3, uploadLoad: 0.5, mixedLongLoad: 0.05, straggling: true }

type Report = Extract<Event, { type: 'upstream-reported' }>

/** What instances receive in place of a report that is 2 s old. */
const REPORTS: Readonly<Record<string, (report: Report) => Event | undefined>> = {
  lagging: report => report,
  missing: () => undefined,
  'always idle': report => ({ ...report, active: 0, queued: 0, ageMs: 0 }),
  'always full': report => ({ ...report, active: 1_000, queued: 1_000, ageMs: 0 })
}

function changeReports (instances: readonly SimulatedInstance[], change: (report: Report) => Event | undefined): void {
  for (const instance of instances as ReadonlyArray<{ deliver: SimulatedInstance['deliver'] }>) {
    const deliver = instance.deliver
    instance.deliver = event => {
      const changed = event.type === 'upstream-reported' ? change(event) : event
      if (changed !== undefined) deliver(changed)
    }
  }
}

function run (reports: string, failure: FaultInjection = () => {}) {
  const seen = { shed: (): number => 0, started: (): number => 0 }
  const measurements = replay({
    profile: ASSOCIATION,
    policy: SYSTEM_POLICY,
    trace,
    faultInjection: context => {
      changeReports(context.fleet.instances, REPORTS[reports]!)
      seen.shed = () => context.upstreamSet.upstreams.reduce((sum, upstream) => sum + upstream.shed(), 0)
      seen.started = () => context.upstreamSet.upstreams.reduce((sum, upstream) => sum + upstream.started(), 0)
      failure(context)
    }
  })
  return { shed: seen.shed(), started: seen.started(), maxRegionLoad: measurements.maxRegionLoad() }
}

const loseRegion: FaultInjection = ({ time, upstreamSet, fleet }) => {
  const lost = ASSOCIATION.regions[0]
  time.after(WARM_UP_MS + DURATION_MS / 3, () => {
    for (const row of [...fleet.instances, ...upstreamSet.upstreams]) if (regionOf(ASSOCIATION, row.zone) === lost) row.crash()
  })
}

describe.each(Object.keys(REPORTS))('at 1.3 times the capacity with load reports that are %s', reports => {
  it('sends no upstream more than its slots, guarding against decisions that trust a measurement', () => {
    const { shed, started, maxRegionLoad } = run(reports)
    expect(started).toBeGreaterThan(1_000)
    expect(shed).toBe(0)
    expect(maxRegionLoad).toBeLessThanOrEqual(1)
  })

  it('overloads no region when another one is lost, guarding against traffic that follows the survivors', () => {
    expect(run(reports, loseRegion).maxRegionLoad).toBeLessThanOrEqual(1)
  })
})
