/**
 * Guards against a directory answer with instances that a client can't use: silent or stopping ones, ones at an address
 * that is not served yet, and ones whose link is too narrow.
 */
import type { InstanceEntry } from '../src/index.js'
import { expect, it } from 'vitest'
import { callerWeights, createInstanceDirectory } from '../src/index.js'

function instance (id: string, zone: string, region: string): InstanceEntry {
  return { id, zone, region, callerAddress: `${id}:1`, peerAddress: `${id}:2`, linkMbps: 1_000 }
}

const ACCEPTING = { accepts: true, isReading: false }
const SELF = instance('self', 'a1', 'a')

it('returns the instances of the client\'s region that answered recently, guarding against addresses of dead instances', () => {
  const directory = createInstanceDirectory(SELF, () => true)
  for (const entry of [instance('a2-1', 'a2', 'a'), instance('b1-1', 'b1', 'b')]) {
    directory.put(entry)
    directory.recordReport(entry.id, ACCEPTING, 1_000)
  }
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 1_100)).toEqual(['self:1', 'a2-1:1'])
  expect(directory.addresses({ zone: 'b1', region: 'b' }, 1_100)).toEqual(['b1-1:1'])
  expect(directory.addresses({ zone: 'b1', region: 'b' }, 9_000)).toEqual(['self:1'])
})

it('leaves out instances that are stopping, this one included, guarding against callers that connect to them', () => {
  const directory = createInstanceDirectory(SELF, () => false)
  directory.put(instance('a2-1', 'a2', 'a'))
  directory.recordReport('a2-1', { ...ACCEPTING, accepts: false }, 1_000)
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 1_100)).toEqual([])
})

it('leaves out an instance with a new address until it has answered there, guarding against an address that is not served yet', () => {
  const directory = createInstanceDirectory(SELF, () => true)
  directory.put(instance('a2-1', 'a2', 'a'))
  directory.recordReport('a2-1', ACCEPTING, 1_000)
  directory.put({ ...instance('a2-1', 'a2', 'a'), peerAddress: 'new:2', callerAddress: 'new:1' })
  expect(directory.addresses({ zone: 'a2', region: 'a' }, 1_100)).toEqual(['self:1'])
})

it('leaves out instances with narrow links while enough others answer, guarding against uploads through a link of a few Mbit/s', () => {
  const directory = createInstanceDirectory(SELF, () => true)
  for (const entry of [instance('a1-2', 'a1', 'a'), { ...instance('a1-3', 'a1', 'a'), linkMbps: 10 }]) {
    directory.put(entry)
    directory.recordReport(entry.id, ACCEPTING, 1_000)
  }
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 1_100)).toEqual(['self:1', 'a1-2:1'])
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 9_000)).toEqual(['self:1'])
})

it('weighs instances by their links, and little those of a region that it names only in a failure, guarding against quota shares that lie idle', () => {
  const entries = [...['a', 'a', 'a', 'b', 'b'].map((region, index) => ({ ...instance(`wide-${index}`, `${region}1`, region), linkMbps: index === 2 ? 7 : 140 })), { ...instance('only', 'c1', 'c'), linkMbps: 7 }]
  expect(callerWeights(entries).map(weight => Math.round(weight * 100) / 100)).toEqual([140, 140, 0.35, 140, 140, 7])
})
