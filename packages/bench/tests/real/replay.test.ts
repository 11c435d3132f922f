import { expect, it } from 'vitest'
import { ASSOCIATION } from '../../src/policy/profile.js'
import { SYSTEM_POLICY, replay } from '../../src/policy/replay.js'

const trace = { seed: 7, durationMs: 400, load: 0.6, uploadLoad: 0.5, mixedLongLoad: 0.05, straggling: true }

it.each([SYSTEM_POLICY, 'two-choices'])('gives the same figures for the same trace under %s, guarding against unseeded random numbers', policy => {
  const run = (): unknown => {
    const measurements = replay({ profile: ASSOCIATION, policy, trace })
    return [measurements.latency('short'), measurements.wait('short'), measurements.refusals(), measurements.lost(), measurements.maxRegionLoad()]
  }
  expect(run()).toEqual(run())
})
