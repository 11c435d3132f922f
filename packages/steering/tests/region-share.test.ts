/**
 * Guards against regions that get more requests than their slots can handle while other regions have spare slots.
 */
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { computeRegionShares, regionAt } from '../src/region-share.js'

const REGIONS = ['a', 'b', 'c']
const slots = (a: number, b: number, c: number): ReadonlyMap<string, number> => new Map([['a', a], ['b', b], ['c', c]])

it('keeps the requests that the region\'s own upstreams can handle and sends the rest to regions with spare slots', () => {
  expect(computeRegionShares('a', slots(18, 90, 90), REGIONS)).toEqual([
    { region: 'a', share: 18 / 66 }, { region: 'b', share: expect.closeTo(24 / 66) as number }, { region: 'c', share: expect.closeTo(24 / 66) as number }
  ])
  expect(computeRegionShares('b', slots(18, 90, 90), REGIONS)[0]).toEqual({ region: 'b', share: 1 })
})

it('loads all slots equally when all regions send equally many requests, guarding against a region above its capacity', () => {
  fc.assert(fc.property(fc.nat({ max: 200 }), fc.nat({ max: 200 }), fc.integer({ min: 1, max: 200 }), (a, b, c) => {
    const supply = slots(a, b, c)
    const total = a + b + c
    for (const target of REGIONS) {
      const work = REGIONS.reduce((sum, own) => sum + (computeRegionShares(own, supply, REGIONS).find(({ region }) => region === target)?.share ?? 0), 0)
      expect(work / REGIONS.length).toBeCloseTo((supply.get(target) ?? 0) / total, 6)
    }
  }))
})

it('gives all slots of a region without callers to the other regions, guarding against slots that stay idle', () => {
  expect(computeRegionShares('a', slots(10, 0, 20), ['a'])).toEqual([
    { region: 'a', share: 1 / 3 }, { region: 'b', share: 0 }, { region: 'c', share: expect.closeTo(2 / 3) as number }
  ])
})

it('maps every point to a region with slots, guarding against requests that find no upstream', () => {
  const shares = computeRegionShares('a', slots(18, 90, 0), REGIONS)
  expect([0, 0.2, 0.5, 0.999_999, 1].map(point => regionAt(shares, point))).toEqual(['a', 'a', 'b', 'b', 'b'])
})
