/**
 * Guards against a shortlist that sends an object elsewhere than the whole ranking does: the object would lose its cached
 * data, and instances that compute different orders would spread it.
 */
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createRanking } from '../src/ranking.js'
import { createUpstreamTable } from '../src/upstream-table.js'
import { upstreamEntry } from './fixtures.js'

const REGIONS: Readonly<Record<string, string>> = { a1: 'a', a2: 'a', b1: 'b', b2: 'b', c1: 'c' }

it('lists the first upstreams of each region in the order of the ranking', () => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 120 }), fc.string(), (count, objectKey) => {
    const table = createUpstreamTable(zone => REGIONS[zone])
    const zones = Object.keys(REGIONS)
    for (let index = 0; index < count; index += 1) table.put(upstreamEntry(`u${index}`, { zone: zones[(index * index) % zones.length] }), 0)
    const ranking = createRanking('a', ['a', 'b', 'c'])
    const query = { service: 'shop', objectKey, homeRegions: [], upstreams: table.ofService('shop'), version: table.version() }
    const whole = ranking.rank(query)
    const shortlist = ranking.shortlist(query)
    const seen = new Map<string, number>()
    const expected = whole.filter(({ region }) => {
      seen.set(region, (seen.get(region) ?? 0) + 1)
      return (seen.get(region) ?? 0) <= 8
    })
    expect(shortlist.map(({ id }) => id)).toEqual(expected.map(({ id }) => id))
  }))
})

it('follows a change of the upstreams', () => {
  const table = createUpstreamTable(zone => REGIONS[zone])
  for (const id of ['u1', 'u2', 'u3']) table.put(upstreamEntry(id), 0)
  const ranking = createRanking('a', ['a', 'b', 'c'])
  const list = (): readonly string[] =>
    ranking.shortlist({ service: 'shop', objectKey: '7', homeRegions: [], upstreams: table.ofService('shop'), version: table.version() }).map(({ id }) => id)
  const [first] = list()
  table.remove(first)
  expect(list()).not.toContain(first)
})
