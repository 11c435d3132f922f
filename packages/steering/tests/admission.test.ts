/**
 * Guards against queues in which all requests wait until they are late, and against refusals that hit the wrong
 * requests: urgent ones, or those of a caller that was refused before.
 */
import { expect, it } from 'vitest'
import { admit } from '../src/index.js'

const QUERY = { expectedMs: 300, remainingMs: 3_000, objectiveMs: 500, hasTopPriority: false, isLikelyCallerRetry: false }

it('admits a request that is expected to be answered within its objective', () => {
  expect(admit(QUERY).admitted).toBe(true)
})

it('refuses a request that can not be answered before its deadline, also with top priority, guarding against work whose answer comes too late', () => {
  expect(admit({ ...QUERY, expectedMs: 1_300, remainingMs: 1_200, hasTopPriority: true, isLikelyCallerRetry: true }).admitted).toBe(false)
})

it('refuses lower priorities at a shorter expected time, guarding against purchases that queue behind price checks', () => {
  const expected = Array.from({ length: 60 }, (_, index) => index * 50)
  const limit = (hasTopPriority: boolean): number => Math.max(...expected.filter(expectedMs => admit({ ...QUERY, expectedMs, hasTopPriority }).admitted))
  expect(limit(false)).toBeLessThan(limit(true))
})

it('admits the retry of a refused caller where a first request is refused, guarding against callers that are refused twice', () => {
  const expectedMs = Array.from({ length: 60 }, (_, index) => index * 50).find(expectedMs => !admit({ ...QUERY, expectedMs }).admitted) ?? 0
  expect(admit({ ...QUERY, expectedMs, isLikelyCallerRetry: true }).admitted).toBe(true)
})

it('raises the retry time by as much as the expected time, guarding against retries that arrive before the queue is shorter', () => {
  const [shorter, longer] = [2_000, 2_600].map(expectedMs => admit({ ...QUERY, expectedMs }).retryAfterMs)
  expect(longer - shorter).toBeCloseTo(600)
})
