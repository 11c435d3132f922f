/**
 * Guards against too few readers of the store, so that data gets old, and against too many, so that the calls to the
 * store grow with the number of instances. Each instance decides on its own, from the peers that it sees.
 */
import type { PeerCandidate } from '../src/index.js'
import { expect, it } from 'vitest'
import { shouldReadStore } from '../src/index.js'

const IDS = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'c2', 'c3']
const regionOf = (id: string): string => id.slice(0, 1)

/** Ids of the live instances that read the store when all of them see the same live and reading instances. */
function readers (live: readonly string[], reading: readonly string[]): readonly string[] {
  return live.filter(self => shouldReadStore({ id: self, region: regionOf(self) }, IDS.filter(id => id !== self).map((id): PeerCandidate => ({
    id, region: regionOf(id), isLive: live.includes(id), isReading: reading.includes(id), hasFailed: false
  }))))
}

it('selects one reader per region, guarding against store calls that grow with the number of instances', () => {
  const chosen = readers(IDS, IDS)
  expect(chosen.map(regionOf).sort()).toEqual(['a', 'b', 'c'])
})

it('selects another reader in the region when one no longer answers, guarding against a region without a reader', () => {
  const before = readers(IDS, IDS)
  const after = readers(IDS.filter(id => id !== before[0]), IDS)
  expect(after.map(regionOf).sort()).toEqual(['a', 'b', 'c'])
  expect(after).not.toContain(before[0])
})

it('lets all instances read when none reports reading, guarding against instances that all wait for each other', () => {
  expect(readers(IDS, [])).toEqual(IDS)
})

it('lets all instances read when only one reports reading, guarding against a single reader that lost the store unnoticed', () => {
  expect(readers(IDS, ['a1'])).toEqual(IDS)
})

it('lets an instance without peers read the store', () => {
  expect(shouldReadStore({ id: 'a1', region: 'a' }, [])).toBe(true)
})
