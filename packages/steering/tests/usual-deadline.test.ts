import { expect, it } from 'vitest'
import { createUsualDeadline } from '../src/usual-deadline.js'

it('recognises a caller that comes back by the time that it has left', () => {
  const deadlines = createUsualDeadline()
  expect([3_000, 2_995, 2_400, 3_000, undefined].map(deadline => deadlines.recordAndCompare('read', deadline))).toEqual([false, false, true, false, false])
})

it('follows callers that grant less from now on, guarding against all requests counting as repeated for good', () => {
  const deadlines = createUsualDeadline()
  deadlines.recordAndCompare('read', 10_000)
  let last = true
  for (let count = 0; count < 10_000; count += 1) last = deadlines.recordAndCompare('read', 3_000)
  expect(last).toBe(false)
})
