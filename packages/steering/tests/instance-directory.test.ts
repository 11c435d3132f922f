import type { InstanceEntry } from '../src/index.js'
import { expect, it } from 'vitest'
import { createInstanceDirectory } from '../src/index.js'

function instance (id: string, zone: string, region: string): InstanceEntry {
  return { id, zone, region, callerAddress: `${id}:1`, peerAddress: `${id}:2`, linkMbps: 1_000 }
}

const UP = { accepts: true, isReading: false }
const SELF = instance('self', 'a1', 'a')

it('names instances of the client\'s region that answered lately, guarding against addresses of dead instances', () => {
  const directory = createInstanceDirectory(SELF, () => true)
  for (const entry of [instance('a2-1', 'a2', 'a'), instance('b1-1', 'b1', 'b')]) {
    directory.put(entry)
    directory.recordReport(entry.id, UP, 1_000)
  }
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 1_100)).toEqual(['self:1', 'a2-1:1'])
  expect(directory.addresses({ zone: 'b1', region: 'b' }, 1_100)).toEqual(['b1-1:1'])
  expect(directory.addresses({ zone: 'b1', region: 'b' }, 9_000)).toEqual(['self:1'])
})

it('does not name an instance that is stopping, itself included', () => {
  const directory = createInstanceDirectory(SELF, () => false)
  directory.put(instance('a2-1', 'a2', 'a'))
  directory.recordReport('a2-1', { ...UP, accepts: false }, 1_000)
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 1_100)).toEqual([])
})

it('does not name a replaced instance at its new address before it has answered there', () => {
  const directory = createInstanceDirectory(SELF, () => true)
  directory.put(instance('a2-1', 'a2', 'a'))
  directory.recordReport('a2-1', UP, 1_000)
  directory.put({ ...instance('a2-1', 'a2', 'a'), peerAddress: 'new:2', callerAddress: 'new:1' })
  expect(directory.addresses({ zone: 'a2', region: 'a' }, 1_100)).toEqual(['self:1'])
})

it('sends callers to the instances with wide links, guarding against uploads through a link of a few Mbit/s', () => {
  const directory = createInstanceDirectory(SELF, () => true)
  for (const entry of [instance('a1-2', 'a1', 'a'), { ...instance('a1-3', 'a1', 'a'), linkMbps: 10 }]) {
    directory.put(entry)
    directory.recordReport(entry.id, UP, 1_000)
  }
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 1_100)).toEqual(['self:1', 'a1-2:1'])
  expect(directory.addresses({ zone: 'a1', region: 'a' }, 9_000)).toEqual(['self:1'])
})
