/**
 * Guarantee 2 for a whole fleet: no upstream receives more work than it has slots, under more load than all upstreams
 * can run and with load reports that lag, are missing or are wrong. The simulated upstreams shed work that exceeds
 * their slots, so any shed work is a violation.
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

/** Replaces each load report, which is 2 s old when it is delivered, or drops it. */
const REPORT_CHANGES: Readonly<Record<string, (report: Report) => Event | undefined>> = {
  lagging: report => report,
  missing: () => undefined,
  'always idle': report => ({ ...report, active: 0, queued: 0, ageMs: 0 }),
  'always full': report => ({ ...report, active: 1_000, queued: 1_000, ageMs: 0 })
}

function interceptReports (instances: readonly SimulatedInstance[], change: (report: Report) => Event | undefined): void {
  for (const instance of instances as ReadonlyArray<{ deliver: SimulatedInstance['deliver'] }>) {
    const deliver = instance.deliver
    instance.deliver = event => {
      const changed = event.type === 'upstream-reported' ? change(event) : event
      if (changed !== undefined) deliver(changed)
    }
  }
}

function runOverload (reportCondition: string, injectFault: FaultInjection = () => {}) {
  const counters = { shed: (): number => 0, started: (): number => 0 }
  const measurements = replay({
    profile: ASSOCIATION,
    policy: SYSTEM_POLICY,
    trace,
    faultInjection: context => {
      interceptReports(context.fleet.instances, REPORT_CHANGES[reportCondition]!)
      counters.shed = () => context.upstreamSet.upstreams.reduce((sum, upstream) => sum + upstream.shed(), 0)
      counters.started = () => context.upstreamSet.upstreams.reduce((sum, upstream) => sum + upstream.started(), 0)
      injectFault(context)
    }
  })
  return { shed: counters.shed(), started: counters.started(), maxRegionLoad: measurements.maxRegionLoad() }
}

const failFirstRegion: FaultInjection = ({ time, upstreamSet, fleet }) => {
  const failedRegion = ASSOCIATION.regions[0]
  time.after(WARM_UP_MS + DURATION_MS / 3, () => {
    for (const member of [...fleet.instances, ...upstreamSet.upstreams]) if (regionOf(ASSOCIATION, member.zone) === failedRegion) member.crash()
  })
}

describe.each(Object.keys(REPORT_CHANGES))('at 1.3 times the capacity with load reports that are %s', reports => {
  it('sends no upstream more work than it has slots, guarding against slot limits that rely on load reports', () => {
    const { shed, started, maxRegionLoad } = runOverload(reports)
    expect(started).toBeGreaterThan(1_000)
    expect(shed).toBe(0)
    expect(maxRegionLoad).toBeLessThanOrEqual(1)
  })

  it('overloads no region when another one fails, guarding against shifting the whole load of that region to the others', () => {
    expect(runOverload(reports, failFirstRegion).maxRegionLoad).toBeLessThanOrEqual(1)
  })
})
