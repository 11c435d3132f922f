import { describe, expect, it } from 'vitest'
import { createOutstandingAttempts } from '../../src/limits/outstanding-attempts.js'

describe('createOutstandingAttempts', () => {
  it('counts each attempt once until it is removed, guarding against an attempt that is counted twice or stays after its end', () => {
    const outstanding = createOutstandingAttempts()
    outstanding.add('u1', 'a1', 'long', 5)
    outstanding.add('u1', 'a1', 'long', 9)
    outstanding.add('u1', 'a2', 'short', 7)
    expect([outstanding.count('u1'), outstanding.countLong('u1')]).toEqual([2, 1])
    expect([outstanding.oldestStart('u1'), outstanding.oldestStart('u1', 'short')]).toEqual([5, 7])
    outstanding.remove('u1', 'a1')
    outstanding.remove('u1', 'a1')
    expect([outstanding.count('u1'), outstanding.countLong('u1'), outstanding.oldestStart('u1')]).toEqual([1, 0, 7])
    outstanding.remove('u1', 'a2')
    expect(outstanding.oldestStart('u1')).toBeUndefined()
  })
})
