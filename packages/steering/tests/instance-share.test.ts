/**
 * Guards against instances that together exceed a limit. Each one computes its share alone, so rounding or a different
 * assignment of the remainder could make the shares add up to more.
 */
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createInstanceShare } from '../src/instance-share.js'

it('divides a limit into instance limits that add up to it exactly, guarding against instances that together exceed it', () => {
  fc.assert(fc.property(
    fc.uniqueArray(fc.string({ minLength: 1, maxLength: 8 }), { minLength: 1, maxLength: 40 }), fc.string(), fc.nat({ max: 200 }),
    (ids, subject, total) => {
      const sum = ids.reduce((all, id) => {
        const share = createInstanceShare(id)
        share.update(ids)
        return all + share.instanceLimit(subject, total)
      }, 0)
      expect(sum).toBe(total)
    }
  ))
})

it('counts this instance before it is registered, guarding against a share that is too large during the start', () => {
  const share = createInstanceShare('x')
  share.update(['a', 'b'])
  expect(share.count()).toBe(3)
})
