/**
 * Guards against retries of refused callers that count as first requests, and the reverse.
 */
import { expect, it } from 'vitest'
import { createUsualDeadline } from '../src/usual-deadline.js'

it('recognises a retry by a deadline that is shorter than usual', () => {
  const deadlines = createUsualDeadline()
  expect([3_000, 2_995, 2_400, 3_000, undefined].map(deadline => deadlines.recordAndCompare('read', deadline))).toEqual([false, false, true, false, false])
})

it('adapts to callers that permanently state shorter deadlines, guarding against first requests that count as retries forever', () => {
  const deadlines = createUsualDeadline()
  deadlines.recordAndCompare('read', 10_000)
  let last = true
  for (let count = 0; count < 10_000; count += 1) last = deadlines.recordAndCompare('read', 3_000)
  expect(last).toBe(false)
})
