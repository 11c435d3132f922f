import { describe, expect, it } from 'vitest'
import { finishTime } from '../../src/policy/simulated-upstream.js'

describe('finishTime', () => {
  const slowPeriods = [{ from: 10, to: 26 }]

  it('is the plain service time outside slow slowPeriods', () => {
    expect(finishTime(slowPeriods, 0, 10)).toBe(10)
    expect(finishTime(slowPeriods, 30, 5)).toBe(35)
  })

  it('slows the part of the work that falls into a spell, guarding against work that ignores a spell under way', () => {
    expect(finishTime(slowPeriods, 5, 6)).toBe(18)
    expect(finishTime(slowPeriods, 12, 1)).toBe(20)
  })

  it('goes on at normal speed after the spell', () => {
    expect(finishTime(slowPeriods, 10, 3)).toBe(27)
  })
})
