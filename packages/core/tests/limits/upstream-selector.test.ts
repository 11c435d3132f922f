import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { LengthClass } from '../../src/configuration.js'
import { createOutstandingAttempts } from '../../src/limits/outstanding-attempts.js'
import { createSlotLimits } from '../../src/limits/slot-limits.js'
import { createUpstreamSelector } from '../../src/limits/upstream-selector.js'
import { addUpstream, configurationOf, worldOf } from './world.js'

const NO_UPSTREAMS: ReadonlySet<string> = new Set()

function setUp (upstreams: number, slots = 9, longShare = 0.5) {
  const world = worldOf({ ...configurationOf({ z1: 1 }, slots), rules: [{ service: 's', scope: 'zone', shiftCap: 0, longShare }] })
  for (let index = 0; index < upstreams; index += 1) addUpstream(world, `u${index}`)
  const outstanding = createOutstandingAttempts()
  const limits = createSlotLimits(world, outstanding)
  const selector = createUpstreamSelector({ world, slots: limits, outstanding, seed: 1 })
  let attempts = 0
  const start = (now: number, length: LengthClass = 'short', exclude = NO_UPSTREAMS) => {
    const upstreamId = selector.select('s', 'z1', length, exclude, now)
    if (upstreamId === undefined) return undefined
    const attemptId = `a${attempts++}`
    outstanding.add(upstreamId, attemptId, length, now)
    selector.recordStart(upstreamId, attemptId, now)
    return { upstreamId, attemptId }
  }
  const end = (attempt: { upstreamId: string, attemptId: string }, now: number, result: 'finished' | 'refused' | 'failed' | 'cancelled' = 'finished') => {
    outstanding.remove(attempt.upstreamId, attempt.attemptId)
    selector.recordEnd(attempt.upstreamId, attempt.attemptId, result, now)
  }
  /** Runs `count` attempts of `serviceMs` one after the other at one upstream. */
  const serve = (upstreamId: string, count: number, serviceMs: number, from: number) => {
    const others = new Set([...world.upstreams.keys()].filter(id => id !== upstreamId))
    for (let index = 0; index < count; index += 1) {
      const attempt = start(from + index * serviceMs, 'short', others)
      if (attempt !== undefined) end(attempt, from + (index + 1) * serviceMs)
    }
  }
  return { world, outstanding, limits, selector, start, end, serve }
}

describe('createUpstreamSelector', () => {
  it('gives all slots of an upload service to long work, guarding against slots that are reserved for short work that never comes', () => {
    const { world, start } = setUp(1, 3)
    const configuration = world.configuration!
    const routes = [{ method: 'PUT', prefix: '/', kind: 'plain', length: 'long' }] as const
    world.configuration = { ...configuration, services: configuration.services.map(service => ({ ...service, routes })) }
    expect([1, 2, 3, 4].map(now => start(now, 'long')?.upstreamId)).toEqual(['u0', 'u0', 'u0', undefined])
  })

  it('stays within the slots and the share of long work, guarding against uploads that block short work', () => {
    const step = fc.record({ after: fc.nat(30), long: fc.boolean(), ends: fc.nat(3), result: fc.constantFrom('finished', 'refused', 'failed', 'cancelled') as fc.Arbitrary<'finished' | 'refused' | 'failed' | 'cancelled'> })
    fc.assert(fc.property(fc.array(step, { maxLength: 150 }), fc.integer({ min: 1, max: 9 }), fc.constantFrom(0, 0.3, 0.5, 1), (steps, slots, longShare) => {
      const { outstanding, start, end } = setUp(3, slots, longShare)
      const running: Array<{ upstreamId: string, attemptId: string }> = []
      let now = 0
      for (const { after, long, ends, result } of steps) {
        now += after
        for (const attempt of running.splice(0, ends)) end(attempt, now, result)
        const attempt = start(now, long ? 'long' : 'short')
        if (attempt === undefined) continue
        running.push(attempt)
        const { upstreamId } = attempt
        expect(outstanding.count(upstreamId)).toBeLessThanOrEqual(slots)
        if (!long) continue
        expect(outstanding.countLong(upstreamId)).toBeLessThanOrEqual(Math.max(1, Math.floor(slots * longShare)))
        if (slots > 1) expect(outstanding.count(upstreamId)).toBeLessThan(slots)
      }
    }))
  })

  it('spreads attempts evenly over equal upstreams and skips excluded ones, guarding against a preferred upstream', () => {
    const { start } = setUp(3)
    const chosen = Array.from({ length: 9 }, () => start(0)?.upstreamId)
    for (const id of ['u0', 'u1', 'u2']) expect(chosen.filter(other => other === id)).toHaveLength(3)
    expect(start(0, 'short', new Set(['u0', 'u1']))?.upstreamId).toBe('u2')
    expect(start(0, 'short', new Set(['u0', 'u1', 'u2']))).toBeUndefined()
  })

  it('sends a stalled upstream one probe at a time until it answers at normal speed, guarding against requests that wait behind a straggler', () => {
    const { selector, outstanding, start, end, serve } = setUp(3)
    serve('u0', 20, 20, 0)
    const onlyFirst = new Set(['u1', 'u2'])
    const stalled = Array.from({ length: 4 }, () => start(400, 'short', onlyFirst))
    expect(stalled.every(attempt => attempt?.upstreamId === 'u0')).toBe(true)
    const probe = start(600, 'short', onlyFirst)
    expect(probe?.upstreamId).toBe('u0')
    expect(selector.select('s', 'z1', 'short', onlyFirst, 600)).toBeUndefined()
    expect(start(600)?.upstreamId).not.toBe('u0')
    for (const attempt of stalled) if (attempt !== undefined) end(attempt, 601)
    if (probe !== undefined) end(probe, 620)
    serve('u0', 3, 20, 620)
    expect(outstanding.count('u0')).toBe(0)
    expect([start(700, 'short', onlyFirst), start(700, 'short', onlyFirst)].map(attempt => attempt?.upstreamId)).toEqual(['u0', 'u0'])
  })

  it('clears an upstream that lost attempts once it completes probes, guarding against an upstream that stays a suspect until their deadlines', () => {
    const { start, serve } = setUp(3)
    serve('u0', 20, 20, 0)
    for (let count = 0; count < 4; count += 1) start(400, 'short', new Set(['u1', 'u2']))
    serve('u0', 60, 20, 600)
    expect([1, 2].map(() => start(1_800, 'short', new Set(['u1', 'u2']))?.upstreamId)).toEqual(['u0', 'u0'])
  })

  it('uses all upstreams when most are slow, guarding against a service that is limited to one probe per upstream', () => {
    const { start, serve } = setUp(2)
    serve('u0', 20, 20, 0)
    serve('u1', 20, 20, 0)
    for (let count = 0; count < 8; count += 1) start(400)
    expect(Array.from({ length: 6 }, () => start(1_000)).every(attempt => attempt !== undefined)).toBe(true)
  })

  it.each(['failed', 'refused'] as const)('backs off from an upstream whose attempts are %s at once, guarding against an upstream that attracts work by failing fast', result => {
    const { start, end } = setUp(2)
    const counts = { u0: 0, u1: 0 }
    for (let now = 0; now < 2_000; now += 1) {
      const attempt = start(now)
      if (attempt === undefined) continue
      counts[attempt.upstreamId as 'u0' | 'u1'] += 1
      end(attempt, now, attempt.upstreamId === 'u0' ? result : 'finished')
    }
    expect(counts.u0).toBeLessThanOrEqual(10)
    expect(counts.u1).toBeGreaterThan(1_900)
  })

  it('prefers upstreams that are faster in the long run, guarding against equal shares for unequal machines', () => {
    const { start, serve } = setUp(2)
    serve('u0', 2_000, 40, 0)
    serve('u1', 2_000, 20, 0)
    const chosen = Array.from({ length: 9 }, () => start(100_000)?.upstreamId)
    expect(chosen.filter(id => id === 'u1').length).toBeGreaterThanOrEqual(5)
  })

  it('compares a bounded number of upstreams but finds the only free one, guarding against free slots that stay unused in a large zone', () => {
    const { start } = setUp(200, 1)
    const chosen = Array.from({ length: 200 }, () => start(0)?.upstreamId)
    expect(new Set(chosen).size).toBe(200)
    expect(start(0)).toBeUndefined()
  })
})
