/**
 * Guards against a split that misses the weights, which happens when a few objects cause most requests, and against
 * objects that change their service needlessly.
 */
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createTrafficSplit } from '../src/traffic-split.js'
import { READ } from './fixtures.js'

const route = { ...READ, parts: [{ service: 'old', weight: 90 }, { service: 'new', weight: 10 }] }

it('follows the weights when few objects cause all requests, guarding against a split by object that misses the weights', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 24 }), fc.integer({ min: 1, max: 9 }), (objects, tenths) => {
    const split = createTrafficSplit()
    const parts = [{ service: 'old', weight: tenths }, { service: 'new', weight: 10 - tenths }]
    let old = 0
    const total = 400
    for (let count = 0; count < total; count += 1) {
      if (split.choose({ ...route, parts }, String(count % objects)) === 'old') old += 1
    }
    expect(Math.abs(old / total - tenths / 10)).toBeLessThan(0.1)
  }))
})

it('keeps an object at one service while the shares match the weights, guarding against data that both services must cache', () => {
  const split = createTrafficSplit()
  const parts = new Map<string, Set<string>>()
  for (let count = 0; count < 5_000; count += 1) {
    const key = String(count % 500)
    const services = parts.get(key) ?? new Set<string>()
    parts.set(key, services.add(split.choose(route, key)))
  }
  const moved = [...parts.values()].filter(services => services.size > 1).length
  expect(moved).toBeLessThan(50)
})
