/**
 * Guards against a retry storm: when all requests fail, retries by every instance would multiply the load.
 */
import { expect, it, vi } from 'vitest'
import { createRetryBudget } from '../src/retry-budget.js'

const BOUND = { ratio: 0.2, extra: 56, windowMs: 10_000 }

it('keeps the retries of seven instances within the budget of every window, guarding against a retry storm while all requests fail', () => {
  const instances = Array.from({ length: 7 }, () => createRetryBudget(BOUND, () => 7))
  const retries: number[] = []
  let requests = 0
  for (let step = 0; step < 2_000; step += 1) {
    vi.advanceTimersByTime(10)
    const now = performance.now()
    for (const instance of instances) {
      instance.recordRequest('shop', now)
      requests += 1
      while (instance.tryAcquire('shop', now)) retries.push(now)
    }
  }
  const perWindow = requests / 2
  for (let start = 0; start < 10_000; start += 500) {
    const inWindow = retries.filter(at => at >= start && at < start + BOUND.windowMs).length
    expect(inWindow).toBeLessThanOrEqual(BOUND.ratio * perWindow + BOUND.extra)
  }
})

it('grants an instance without requests only its share of the fixed allowance, guarding against idle instances that exceed the budget', () => {
  const allowance = createRetryBudget(BOUND, () => 7)
  let taken = 0
  while (allowance.tryAcquire('shop', performance.now())) taken += 1
  expect(taken).toBeLessThanOrEqual(BOUND.extra / 7)
  expect(taken).toBeGreaterThan(0)
})
