import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { World } from '../../src/tables.js'
import { createHedgePolicy } from '../../src/limits/hedge-policy.js'
import { createLinkBudget } from '../../src/limits/link-budget.js'
import { createRetryBudget } from '../../src/limits/retry-budget.js'
import { configurationOf, worldOf } from './world.js'

function worldWithLink (mbitPerSecond: number, instances: number): World {
  const configuration = configurationOf({ z1: instances })
  return worldOf({ ...configuration, regions: [{ id: 'r1' }, { id: 'r2' }], links: [{ from: 'r1', to: 'r2', mbitPerSecond }] })
}

describe('createLinkBudget', () => {
  it('keeps the sum over all instances of a region within the rate, guarding against a link that they overload together', () => {
    const chunk = fc.record({ instance: fc.nat(2), bytes: fc.integer({ min: 1, max: 65_536 }), after: fc.nat(50), short: fc.boolean() })
    fc.assert(fc.property(fc.array(chunk, { minLength: 100, maxLength: 300 }), fc.integer({ min: 1, max: 40 }), (chunks, mbit) => {
      const budgets = [0, 1, 2].map(() => createLinkBudget(worldWithLink(mbit, 3)))
      const burst = Math.max(65_536, mbit * 125 / 3 * 50)
      let now = 0
      let sent = 0
      for (const { instance, bytes, after, short } of chunks) {
        now += after
        if (budgets[instance].waitMs('r1', 'r2', bytes, short ? 'short' : 'long', now) > 0) continue
        budgets[instance].consume('r1', 'r2', bytes, now)
        sent += bytes
      }
      // Each instance may send a full bucket at once and overdraw it by half of its capacity.
      expect(sent).toBeLessThanOrEqual(now * mbit * 125 + 3 * 1.5 * burst + 1)
    }))
  })

  it('lets short work overdraw the bucket while long work waits, guarding against short work that waits behind uploads', () => {
    const budget = createLinkBudget(worldWithLink(8, 1))
    expect(budget.waitMs('r1', 'r2', 65_536, 'long', 0)).toBe(0)
    budget.consume('r1', 'r2', 65_536, 0)
    expect(budget.waitMs('r1', 'r2', 10_000, 'long', 0)).toBe(10)
    expect(budget.waitMs('r1', 'r2', 10_000, 'short', 0)).toBe(0)
    expect(budget.waitMs('r1', 'r2', 10_000, 'long', 10)).toBe(0)
    expect([budget.waitMs('r1', 'r1', 1e9, 'long', 0), budget.waitMs('r2', 'r1', 1e9, 'long', 0)]).toEqual([0, 0])
  })
})

describe('createRetryBudget', () => {
  it('limits retries to 10% of the requests plus 3 in any window, guarding against a retry storm', () => {
    fc.assert(fc.property(fc.array(fc.record({ after: fc.nat(400), requests: fc.nat(20), retries: fc.nat(20) }), { maxLength: 60 }), steps => {
      const budget = createRetryBudget()
      const recorded: Array<{ bucket: number, requests: number, retries: number }> = []
      let now = 0
      for (const { after, requests, retries } of steps) {
        now += after
        for (let count = 0; count < requests; count += 1) budget.recordRequest('s', now)
        let taken = 0
        for (let count = 0; count < retries; count += 1) if (budget.tryAcquire('s', now)) taken += 1
        const bucket = Math.floor(now / 1_000)
        recorded.push({ bucket, requests, retries: taken })
        const window = recorded.filter(row => row.bucket > bucket - 10)
        const sum = (key: 'requests' | 'retries'): number => window.reduce((total, row) => total + row[key], 0)
        if (taken > 0) expect(sum('retries')).toBeLessThanOrEqual(0.1 * sum('requests') + 3 + 1e-9)
        if (taken < retries) expect(sum('retries') + 1).toBeGreaterThan(0.1 * sum('requests') + 3 - 1e-9)
      }
    }))
  })
})

describe('createHedgePolicy', () => {
  it('gives a delay from 50 samples on and follows recent latencies, guarding against a delay from too few or outdated samples', () => {
    const policy = createHedgePolicy()
    for (let ms = 1; ms <= 49; ms += 1) policy.recordLatency('s', ms, 0)
    expect(policy.delayMs('s', 0)).toBeUndefined()
    for (let ms = 50; ms <= 100; ms += 1) policy.recordLatency('s', ms, 0)
    expect(policy.delayMs('s', 0)).toBeCloseTo(95, -0.3)
    for (let now = 10_000; now <= 30_000; now += 100) policy.recordLatency('s', 10, now)
    expect(policy.delayMs('s', 30_000)).toBeCloseTo(10, 0)
    expect(policy.delayMs('s', 90_000)).toBeUndefined()
  })

  it('allows hedges for at most 5% of the requests, fewer with little headroom, guarding against hedges that add load to a full service', () => {
    fc.assert(fc.property(fc.integer({ min: 0, max: 2_000 }), fc.double({ min: 0, max: 1, noNaN: true }), (requests, headroom) => {
      const policy = createHedgePolicy()
      for (let count = 0; count < requests; count += 1) policy.recordLatency('s', 20, 0)
      let hedges = 0
      while (policy.tryAcquire('s', headroom, 0)) hedges += 1
      expect(hedges).toBeLessThanOrEqual(0.05 * requests * Math.min(1, Math.max(0, (headroom - 0.1) / 0.2)))
      if (headroom >= 0.3) expect(hedges).toBe(Math.floor(0.05 * requests))
    }))
  })
})
