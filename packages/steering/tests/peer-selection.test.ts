/**
 * Guards against polls that grow with the number of instances, and against instances that learn of the failure or the
 * return of another one too late because they do not poll it themselves. Many directories exchange sightings on a paused
 * clock, as their instances do over HTTP.
 */
import type { InstanceDirectory, InstanceEntry, PeerSelection } from '../src/index.js'
import { expect, it } from 'vitest'
import { createInstanceDirectory, createPeerSelection, silentAfterMs } from '../src/index.js'

const REGIONS = ['a', 'b', 'c']
const INTERVAL_MS = 1_000
/** The platform's bound: a directory names no instance that ended this long ago, `touch_s` + 3 s. */
const MAX_NAMED_AFTER_END_MS = 6_000

interface Instance {
  readonly entry: InstanceEntry
  readonly directory: InstanceDirectory
  readonly selection: PeerSelection
}

function instances (count: number): ReadonlyMap<string, Instance> {
  const entries = Array.from({ length: count }, (_, index): InstanceEntry => {
    const region = REGIONS[index % REGIONS.length]
    return { id: `${region}-${index}`, zone: `${region}1`, region, callerAddress: `${region}-${index}:1`, peerAddress: `${region}-${index}:2`, linkMbps: 100 }
  })
  return new Map(entries.map(entry => {
    const directory = createInstanceDirectory(entry, () => true)
    entries.forEach(other => directory.put(other))
    return [entry.id, { entry, directory, selection: createPeerSelection(entry) }]
  }))
}

/** One interval in which each live instance polls; returns the largest number of polls. */
function exchange (all: ReadonlyMap<string, Instance>, isDown: (id: string) => boolean, startsAt: number): number {
  let most = 0
  let offset = 0
  for (const { entry, directory, selection } of all.values()) {
    // Instances poll at different moments of the interval.
    const now = startsAt + (offset += INTERVAL_MS / all.size)
    if (isDown(entry.id)) continue
    const ids = selection.next(directory.peerCandidates(now))
    most = Math.max(most, ids.length)
    for (const id of ids) {
      const peer = all.get(id)
      if (peer === undefined || isDown(id)) {
        directory.recordFailure(id)
        continue
      }
      peer.directory.recordSightings([directory.ownSighting({ accepts: true, isReading: false })], now)
      directory.recordReport(id, { accepts: true, isReading: false }, now)
      directory.recordSightings(peer.directory.sightings(now), now)
    }
  }
  return most
}

const named = ({ directory, entry }: Instance, now: number): readonly string[] => directory.addresses({ region: entry.region }, now)

/** Runs until all know all, then lets a share of the instances fail, and later return. */
function run (count: number, failedShare: number): void {
  const all = instances(count)
  const isFailed = (id: string): boolean => Number(id.slice(2)) % 10 < failedShare * 10
  const live = [...all.values()].filter(({ entry }) => !isFailed(entry.id))
  let now = 0
  const pass = (intervals: number, isDown: (id: string) => boolean): number => {
    let most = 0
    for (let index = 0; index < intervals; index += 1, now += INTERVAL_MS) most = Math.max(most, exchange(all, isDown, now))
    return most
  }
  const inRegion = (instance: Instance, of: readonly Instance[]): number => of.filter(({ entry }) => entry.region === instance.entry.region).length

  expect(pass(8, () => false)).toBeLessThanOrEqual(16)
  for (let index = 0; index < 10; index += 1) {
    pass(1, () => false)
    for (const instance of all.values()) expect(named(instance, now)).toHaveLength(Math.min(64, inRegion(instance, [...all.values()])))
  }
  pass(Math.floor(MAX_NAMED_AFTER_END_MS / INTERVAL_MS), isFailed)
  for (const instance of live) expect(named(instance, now)).toHaveLength(Math.min(64, inRegion(instance, live)))
  pass(12, () => false)
  for (const instance of all.values()) expect(named(instance, now)).toHaveLength(Math.min(64, inRegion(instance, [...all.values()])))
}

it.each([7, 27, 79, 120])('keeps the directories of %i instances current with a bounded number of polls, guarding against instances that are named after their end', count => {
  run(count, 0.3)
})

it('keeps them current when most instances fail, guarding against survivors that lose sight of each other', () => {
  run(79, 0.7)
})

it('needs no longer to notice a failed instance in a small region', () => {
  expect(silentAfterMs(11)).toBe(2_600)
  expect(silentAfterMs(1_000)).toBeLessThan(MAX_NAMED_AFTER_END_MS)
})

it('ignores a sighting of another address, guarding against a replaced instance that is named before it answers', () => {
  const entry: InstanceEntry = { id: 'x', zone: 'a1', region: 'a', callerAddress: 'x:1', peerAddress: 'x:2', linkMbps: 100 }
  const old = createInstanceDirectory({ ...entry, id: 'y' }, () => true)
  old.put(entry)
  old.recordReport('x', { accepts: true, isReading: false }, 1_000)
  const directory = createInstanceDirectory({ ...entry, id: 'z', callerAddress: 'z:1' }, () => true)
  directory.put({ ...entry, callerAddress: 'new:1', peerAddress: 'new:2' })
  directory.recordSightings(old.sightings(1_100), 1_100)
  expect(directory.addresses({ region: 'a' }, 1_200)).toEqual(['z:1'])
})

it('keeps the newer of two states, guarding against a stopping instance that an older sighting makes usable again', () => {
  const entry: InstanceEntry = { id: 'x', zone: 'a1', region: 'a', callerAddress: 'x:1', peerAddress: 'x:2', linkMbps: 100 }
  const other = createInstanceDirectory({ ...entry, id: 'y' }, () => true)
  const directory = createInstanceDirectory({ ...entry, id: 'z', callerAddress: 'z:1' }, () => true)
  other.put(entry)
  directory.put(entry)
  other.recordReport('x', { accepts: true, isReading: false }, 1_000)
  directory.recordReport('x', { accepts: false, isReading: false }, 1_050)
  directory.recordSightings(other.sightings(1_100), 1_100)
  expect(directory.addresses({ region: 'a' }, 1_200)).toEqual(['z:1'])
})
