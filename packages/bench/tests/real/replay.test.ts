import { expect, it } from 'vitest'
import { ASSOCIATION } from '../../src/policy/profile.js'
import { SYSTEM, replay } from '../../src/policy/replay.js'

const trace = { seed: 7, durationMs: 400, load: 0.6, uploadLoad: 0.5, mixedLongLoad: 0.05, straggling: true }

it.each([SYSTEM, 'two-choices'])('replays the same trace to the same figures under %s, guarding against hidden randomness', policy => {
  const run = (): unknown => {
    const measures = replay({ profile: ASSOCIATION, policy, trace })
    return [measures.latency('short'), measures.wait('short'), measures.refusals(), measures.lost(), measures.maxRegionLoad()]
  }
  expect(run()).toEqual(run())
})
