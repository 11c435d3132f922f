import { expect, it } from 'vitest'
import { createOutstandingBodies, MAX_OUTSTANDING_BODY_BYTES } from '../src/outstanding-bodies.js'

it('refuses a body beyond the limit until earlier ones have ended, guarding against an upstream that runs out of memory', () => {
  const bodies = createOutstandingBodies()
  bodies.add('u', MAX_OUTSTANDING_BODY_BYTES - 100)
  expect([bodies.mayAdd('u', 100), bodies.mayAdd('u', 101), bodies.mayAdd('other', 101)]).toEqual([true, false, true])
  bodies.remove('u', MAX_OUTSTANDING_BODY_BYTES - 100)
  expect(bodies.mayAdd('u', 101)).toBe(true)
})

it('lets an upstream without bodies take one beyond the limit, guarding against uploads that no upstream ever gets', () => {
  const bodies = createOutstandingBodies()
  expect(bodies.mayAdd('u', 2 * MAX_OUTSTANDING_BODY_BYTES)).toBe(true)
  bodies.add('u', 2 * MAX_OUTSTANDING_BODY_BYTES)
  expect([bodies.mayAdd('u', 1), bodies.mayAdd('u', 0)]).toEqual([false, true])
})

it('forgets an upstream whose bodies have ended, also after a release without its start', () => {
  const bodies = createOutstandingBodies()
  bodies.remove('u', 500)
  bodies.add('u', MAX_OUTSTANDING_BODY_BYTES)
  expect(bodies.mayAdd('u', 1)).toBe(false)
})
