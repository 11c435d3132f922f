import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Rule } from '../../src/configuration.js'
import type { World } from '../../src/tables.js'
import { createShiftLimiter } from '../../src/limits/shift-limiter.js'
import { configurationOf, worldOf } from './world.js'

const BASE = configurationOf({ z1: 1, z2: 1, z3: 1 })
const ZONES = BASE.zones.map(zone => zone.id === 'z3' ? { ...zone, region: 'r2' } : zone)

function worldWith (scope: Rule['scope'], shiftCap: number, version = 1): World {
  return worldOf({ ...BASE, version, zones: ZONES, rules: [{ service: 's', scope, shiftCap, longShare: 0.5 }] })
}

describe('createShiftLimiter', () => {
  it('keeps the sum over all instances under the cap, guarding against shifts that exceed it only in sum', () => {
    const step = fc.record({ instance: fc.nat(6), action: fc.constantFrom('request', 'request', 'request', 'move'), to: fc.constantFrom('z2', 'z3'), after: fc.nat(700) })
    fc.assert(fc.property(fc.array(step, { maxLength: 300 }), fc.constantFrom(0, 0.05, 0.2, 0.29, 0.5, 1), fc.constantFrom<Rule['scope']>('zone', 'region'), (steps, cap, scope) => {
      const worlds = Array.from({ length: 7 }, (_, index) => worldWith(scope, cap, index + 1))
      const limiters = worlds.map(world => createShiftLimiter(world))
      let now = 0
      let total = 0
      let moved = 0
      for (const { instance, action, to, after } of steps) {
        now += after
        if (action === 'request') {
          total += 1
          limiters[instance].recordRequest('s', 'z1', now)
        } else if (limiters[instance].mayMove('s', 'z1', to, now)) {
          limiters[instance].recordMove('s', 'z1', to, now)
          if (scope === 'zone' || to === 'z3') moved += 1
        }
        worlds[instance].configuration = worldWith(scope, cap, now).configuration
        expect(moved).toBeLessThanOrEqual(cap * total + 1e-9)
      }
    }))
  })

  it('keeps the window under the cap at every move, guarding against requests before the window that count towards new moves', () => {
    fc.assert(fc.property(fc.array(fc.record({ move: fc.boolean(), after: fc.nat(3_000) }), { maxLength: 200 }), steps => {
      const limiter = createShiftLimiter(worldWith('zone', 0.2))
      const recorded: Array<{ bucket: number, move: boolean }> = []
      let now = 0
      for (const { move, after } of steps) {
        now += after
        const bucket = Math.floor(now / 1_000)
        if (move && !limiter.mayMove('s', 'z1', 'z2', now)) continue
        if (move) limiter.recordMove('s', 'z1', 'z2', now)
        else limiter.recordRequest('s', 'z1', now)
        recorded.push({ bucket, move })
        const window = recorded.filter(row => row.bucket > bucket - 10)
        const moves = window.filter(row => row.move).length
        if (move) expect(moves).toBeLessThanOrEqual(0.2 * (window.length - moves) + 1e-9)
      }
    }))
  })

  it('allows the fifth request to move at a cap of 0.2, guarding against a burst allowance and a cap that is too strict', () => {
    const limiter = createShiftLimiter(worldWith('region', 0.2))
    const allowed: boolean[] = []
    for (let count = 0; count < 5; count += 1) {
      limiter.recordRequest('s', 'z1', 0)
      allowed.push(limiter.mayMove('s', 'z1', 'z3', 0))
    }
    expect(allowed).toEqual([false, false, false, false, true])
    limiter.recordMove('s', 'z1', 'z3', 0)
    expect(limiter.mayMove('s', 'z1', 'z3', 0)).toBe(false)
    expect(limiter.mayMove('s', 'z1', 'z2', 0)).toBe(true)
    expect(limiter.mayMove('unruled', 'z1', 'z3', 0)).toBe(true)
  })
})
