import { describe, expect, it } from 'vitest'
import { finishTime } from '../../src/policy/simulated-upstream.js'

describe('finishTime', () => {
  const slowPeriods = [{ from: 10, to: 26 }]

  it('equals the service time outside slow periods', () => {
    expect(finishTime(slowPeriods, 0, 10)).toBe(10)
    expect(finishTime(slowPeriods, 30, 5)).toBe(35)
  })

  it('slows the part of the work that falls into a slow period, guarding against ignoring a period that has already begun', () => {
    expect(finishTime(slowPeriods, 5, 6)).toBe(18)
    expect(finishTime(slowPeriods, 12, 1)).toBe(20)
  })

  it('continues at normal speed after the slow period', () => {
    expect(finishTime(slowPeriods, 10, 3)).toBe(27)
  })
})
