import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { World } from '../../src/tables.js'
import { createOutstandingAttempts } from '../../src/limits/outstanding-attempts.js'
import { createSlotLimits } from '../../src/limits/slot-limits.js'
import { addInstance, addUpstream, configurationOf, worldOf } from './world.js'

const limitsOf = (world: World) => createSlotLimits(world, createOutstandingAttempts())

/** A zone of two instances with one upstream of 9 slots, of which this instance's share is `share`. */
function setUpPair () {
  const world = worldOf(configurationOf({ z1: 2 }))
  addInstance(world, 'i2', { heardAt: 0 })
  addUpstream(world, 'u1')
  const limits = limitsOf(world)
  return { world, limits, share: limits.limit('u1', 0) }
}

describe('createSlotLimits', () => {
  it('computes shares that sum to the slots, guarding against overload by a remainder that two instances count as theirs', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 12 }), fc.integer({ min: 1, max: 5 }), fc.integer({ min: 1, max: 6 }), (slots, configured, running) => {
      const ids = Array.from({ length: running }, (_, index) => `i${index}`)
      const sum = ids.reduce((total, self) => {
        const world = worldOf(configurationOf({ z1: configured }, slots), self)
        for (const id of ids) if (id !== self) addInstance(world, id)
        addUpstream(world, 'u1')
        return total + limitsOf(world).limit('u1', 0)
      }, 0)
      expect(sum).toBeLessThanOrEqual(slots)
      if (running >= configured) expect(sum).toBe(slots)
    }))
  })

  it('stays between 0 and the slots, guarding against growth or reduction past either bound', () => {
    const step = fc.record({
      after: fc.integer({ min: 0, max: 4_000 }),
      action: fc.constantFrom('limit', 'refuse', 'silence', 'hear', 'leave') as fc.Arbitrary<'limit' | 'refuse' | 'silence' | 'hear' | 'leave'>,
      upstream: fc.constantFrom('u1', 'u2'),
      peer: fc.constantFrom('i2', 'i3')
    })
    fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.integer({ min: 1, max: 9 }), (steps, slots) => {
      const world = worldOf(configurationOf({ z1: 2, z2: 1 }, slots, 5_000))
      const limits = limitsOf(world)
      addUpstream(world, 'u1', { listedAt: 0 })
      addUpstream(world, 'u2', { zone: 'z2' })
      let now = 0
      for (const { after, action, upstream, peer } of steps) {
        now += after
        const row = { zone: peer === 'i2' ? 'z1' : 'z2' }
        if (action === 'refuse') limits.recordRefusal(upstream, now)
        if (action === 'hear') addInstance(world, peer, { ...row, heardAt: now })
        if (action === 'silence') addInstance(world, peer, { ...row, state: 'silent', heardAt: now - 3_000 })
        if (action === 'leave') addInstance(world, peer, { ...row, state: 'leaving', heardAt: now })
        for (const id of ['u1', 'u2']) {
          expect(limits.limit(id, now)).toBeGreaterThanOrEqual(0)
          expect(limits.limit(id, now)).toBeLessThanOrEqual(slots)
        }
        if (world.instances.get('i3')?.state === 'live') expect(limits.limit('u2', now)).toBe(0)
        if (world.instances.get('i2')?.state === 'live') expect(limits.limit('u1', now)).toBeLessThanOrEqual(Math.ceil(slots / 2))
      }
    }))
  })

  it('grows while a peer is silent and falls back to the share when it is heard, guarding against slots that stay unused or are used twice', () => {
    const { world, limits, share } = setUpPair()
    expect([4, 5]).toContain(share)
    addInstance(world, 'i2', { state: 'silent', heardAt: 0 })
    expect([3_000, 3_499, 3_500, 4_000, 20_000].map(now => limits.limit('u1', now))).toEqual([share, share, share + 1, share + 2, 9])
    addInstance(world, 'i2', { heardAt: 20_000 })
    expect(limits.limit('u1', 20_000)).toBe(share)
    addInstance(world, 'i2', { state: 'silent', heardAt: 20_001 })
    expect(limits.limit('u1', 23_600)).toBe(share + 1)
    addInstance(world, 'i2', { state: 'silent', heardAt: 20_500 })
    expect(limits.limit('u1', 24_100)).toBe(share + 2)
    addInstance(world, 'i2', { state: 'silent', heardAt: 24_200 })
    expect(limits.limit('u1', 27_200)).toBe(share)
  })

  it('falls by one after a refusal and does not grow for 2 s, guarding against an upstream that keeps refusing', () => {
    const { world, limits, share } = setUpPair()
    addInstance(world, 'i2', { state: 'silent', heardAt: -2_000 })
    expect(limits.limit('u1', 2_000)).toBe(share + 2)
    limits.recordRefusal('u1', 2_000)
    expect([2_000, 4_000, 4_499, 4_500].map(now => limits.limit('u1', now))).toEqual([share + 1, share + 1, share + 1, share + 2])
    for (let count = 0; count < 20; count += 1) limits.recordRefusal('u1', 5_000)
    expect(limits.limit('u1', 5_000)).toBe(1)
    addInstance(world, 'i2', { heardAt: 5_000 })
    expect(limits.limit('u1', 60_000)).toBe(share)
  })

  it('grows from 0 in another zone of the region while its instances are silent, guarding against a zone that is lost with its only instance', () => {
    const world = worldOf(configurationOf({ z1: 1, z2: 1, z3: 1 }))
    addInstance(world, 'i2', { zone: 'z2', state: 'silent', heardAt: -3_000 })
    addInstance(world, 'i3', { zone: 'z3' })
    addUpstream(world, 'u2', { zone: 'z2' })
    addUpstream(world, 'u3', { zone: 'z3' })
    const limits = limitsOf(world)
    expect([0, 499, 500, 1_000].map(now => limits.limit('u2', now))).toEqual([0, 0, 1, 2])
    expect([limits.total('s', 'z2', 1_000), limits.total('s', 'z3', 1_000)]).toEqual([2, 0])
    for (let count = 0; count < 5; count += 1) limits.recordRefusal('u2', 1_000)
    expect([1_000, 3_499, 3_500].map(now => limits.limit('u2', now))).toEqual([0, 0, 1])
    addInstance(world, 'i2', { zone: 'z2', heardAt: 4_000 })
    expect(limits.limit('u2', 4_000)).toBe(0)
  })

  it.each([false, true])('counts peers without a heartbeat as present for 3 s (listed: %s), guarding against an instance that uses all slots at its start', listed => {
    const world = worldOf(configurationOf({ z1: 2 }, 8))
    if (listed) addInstance(world, 'i2', { state: 'silent', heardAt: -Infinity })
    addUpstream(world, 'u1')
    const limits = limitsOf(world)
    expect([100, 1_000, 3_100, 3_600, 5_100].map(now => limits.limit('u1', now))).toEqual([4, 4, 4, 5, 8])
  })

  it('rises linearly for a newly listed upstream, guarding against full load on empty caches', () => {
    const world = worldOf(configurationOf({ z1: 1 }, 9, 8_000))
    addUpstream(world, 'u1', { listedAt: 1_000 })
    const limits = limitsOf(world)
    expect([1_000, 2_000, 5_000, 8_999, 9_000].map(now => limits.limit('u1', now))).toEqual([1, 2, 5, 8, 9])
  })

  it('is 0 for unknown, leaving and drained upstreams, guarding against new work during a drain', () => {
    const world = worldOf(configurationOf({ z1: 1 }))
    addUpstream(world, 'u1')
    addUpstream(world, 'u2', { state: 'leaving' })
    const limits = limitsOf(world)
    expect([limits.limit('u1', 0), limits.limit('u2', 0), limits.limit('u3', 0)]).toEqual([9, 0, 0])
    const configuration = configurationOf({ z1: 1 })
    world.configuration = { ...configuration, drains: [{ kind: 'upstream', target: 'u1' }] }
    expect(limits.limit('u1', 0)).toBe(0)
    world.configuration = { ...configuration, drains: [{ kind: 'zone', target: 'z1', service: 's' }] }
    expect(limits.limit('u1', 0)).toBe(0)
    world.configuration = { ...configuration, drains: [{ kind: 'zone', target: 'z1', service: 'other' }] }
    expect(limits.limit('u1', 0)).toBe(9)
  })

  it('allows only probes of an upstream that failed until one completes, guarding against work that is queued for a dead zone', () => {
    const world = worldOf(configurationOf({ z1: 1 }))
    addUpstream(world, 'u1')
    const limits = limitsOf(world)
    expect(limits.total('s', 'z1', 0)).toBe(9)
    limits.recordFailure?.('u1', 0)
    expect([0, 20].map(now => limits.total('s', 'z1', now))).toEqual([1, 1])
    for (const now of [20, 21, 60]) limits.recordFailure?.('u1', now)
    expect([60, 139, 140].map(now => limits.total('s', 'z1', now))).toEqual([0, 0, 1])
    for (let now = 150; now < 10_000; now += 50) limits.recordFailure?.('u1', now)
    expect(limits.total('s', 'z1', 11_000)).toBe(1)
    limits.recordCompletion('u1', 11_000)
    expect(limits.total('s', 'z1', 11_000)).toBe(9)
  })
})

describe('usableAt', () => {
  it('is the end of the backoff after failures, guarding against requests that are refused while all upstreams back off for a moment', () => {
    const world = worldOf(configurationOf({ z1: 1 }))
    const limits = limitsOf(world)
    expect(limits.usableAt('s', 'z1', 0)).toBe(Infinity)
    addUpstream(world, 'u1')
    expect(limits.usableAt('s', 'z1', 5)).toBe(5)
    // Backoffs of 20, 40 and 80 ms. From the third consecutive failure on no probe is sent during the backoff.
    for (const now of [5, 25, 65]) limits.recordFailure?.('u1', now)
    expect([limits.total('s', 'z1', 70), limits.usableAt('s', 'z1', 70)]).toEqual([0, 145])
    expect([limits.total('s', 'z1', 145), limits.usableAt('s', 'z1', 145)]).toEqual([1, 145])
  })
})
