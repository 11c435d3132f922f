/**
 * Guards against a stop that cuts off callers: they use a cached directory answer for a while after the stop begins.
 */
import { expect, it, vi } from 'vitest'
import { createStopSchedule } from '../src/index.js'
import { arrival, startSteering, upstreamEntry } from './fixtures.js'

it('keeps serving until callers have refreshed the directory and ends before the grace period, guarding against requests that the stop cuts off', () => {
  const schedule = createStopSchedule(6_000)
  expect(schedule.phase(1_000, 0)).toBe('serving')
  expect(schedule.begin(1_000)).toEqual({ guaranteedFrom: 3_400, endsAt: 6_600 })
  expect([2_000, 3_000, 4_400].map(now => schedule.phase(now, 5))).toEqual(['serving', 'leaving', 'closing'])
  expect(schedule.phase(4_400, 0)).toBe('ended')
  expect(schedule.phase(6_800, 5)).toBe('ended')
  expect([4_400, 6_800].map(schedule.remainingMs)).toEqual([2_200, 0])
  expect(schedule.maxClosingMs).toBeCloseTo(2_300)
})

it('states the same limits for a second signal, guarding against a stop that takes longer than the grace period', () => {
  const schedule = createStopSchedule(10_000)
  const limits = schedule.begin(1_000)
  expect(limits).toEqual({ guaranteedFrom: 3_500, endsAt: 10_600 })
  expect(schedule.begin(2_000)).toEqual(limits)
})

it('refuses a request that may outlast the process and sends on what ends before it, guarding against requests that a stop cuts off', () => {
  const steering = startSteering([upstreamEntry('u')])
  const now = performance.now()
  steering.handle({ type: 'stop-begun', guaranteedFrom: now + 1_000, endsAt: now + 3_000 })
  expect(steering.handle(arrival('expected-in-time', '/read/1', '7', 3_500))).toMatchObject([{ type: 'dispatch' }])
  vi.advanceTimersByTime(1_000)
  expect(steering.handle(arrival('may-outlast', '/read/1', '7', 2_500))).toMatchObject([{ type: 'respond', status: 503, reason: 'stopping', retryAfterMs: 50 }])
  expect(steering.handle(arrival('ends-before', '/read/1', '7', 1_500))).toMatchObject([{ type: 'dispatch' }])
  vi.advanceTimersByTime(1_950)
  expect(steering.handle(arrival('too-late', '/read/1', '7', 900))).toMatchObject([{ type: 'respond', reason: 'stopping' }])
})
