import { expect, it } from 'vitest'
import { admit } from '../src/index.js'

const QUERY = { expectedMs: 300, remainingMs: 3_000, objectiveMs: 500, hasTopPriority: false, isLikelyCallerRetry: false }

it('a request that is expected on time is admitted', () => {
  expect(admit(QUERY).admitted).toBe(true)
})

it('a request that can not be answered before its end is refused, however urgent', () => {
  expect(admit({ ...QUERY, expectedMs: 1_300, remainingMs: 1_200, hasTopPriority: true, isLikelyCallerRetry: true }).admitted).toBe(false)
})

it('less urgent requests are refused before urgent ones, guarding against a purchase that waits behind price checks', () => {
  const expected = Array.from({ length: 60 }, (_, index) => index * 50)
  const limit = (hasTopPriority: boolean): number => Math.max(...expected.filter(expectedMs => admit({ ...QUERY, expectedMs, hasTopPriority }).admitted))
  expect(limit(false)).toBeLessThan(limit(true))
})

it('a caller that comes back after a refusal is admitted where a new one is not, guarding against a second refusal', () => {
  const expectedMs = Array.from({ length: 60 }, (_, index) => index * 50).find(expectedMs => !admit({ ...QUERY, expectedMs }).admitted) ?? 0
  expect(admit({ ...QUERY, expectedMs, isLikelyCallerRetry: true }).admitted).toBe(true)
})

it('the time to come back follows the excess of the expected time', () => {
  const [near, far] = [2_000, 2_600].map(expectedMs => admit({ ...QUERY, expectedMs }).retryAfterMs)
  expect(far - near).toBeCloseTo(600)
})
