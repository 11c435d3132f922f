import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createInstanceShare } from '../src/instance-share.js'

it('the permits of all instances never exceed the total, guarding against limits that add up to more than the whole', () => {
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

it('an instance that is not registered yet counts itself', () => {
  const share = createInstanceShare('x')
  share.update(['a', 'b'])
  expect(share.count()).toBe(3)
})
