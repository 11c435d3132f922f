import type { SteeringEvent, UpstreamEntry } from '@arbutustray/steering'
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createStoreReplica } from '../src/index.js'
import { upstreamEntry } from './support.js'

function create (): { readonly replica: ReturnType<typeof createStoreReplica>, readonly events: SteeringEvent[] } {
  const events: SteeringEvent[] = []
  return { replica: createStoreReplica({ emit: event => events.push(event), onInstances: () => {} }), events }
}

const entry = (id: string): UpstreamEntry => upstreamEntry(id, '127.0.0.1:1')

it('an older state never replaces a newer one, guarding against a configuration that comes back', () => {
  const { replica, events } = create()
  replica.replace('upstreams', 10, [['a', entry('a')]], false)
  expect(replica.replace('upstreams', 9, [], false)).toBe(false)
  replica.applyChanges('upstreams', 10, [{ revision: 10, name: 'a', afterOutage: false }])
  expect(events).toHaveLength(1)
})

it('an instance that takes over excerpts has the same entries as the one that reads the store, whatever it missed', () => {
  const change = fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd'), removed: fc.boolean(), follows: fc.boolean() })
  fc.assert(fc.property(fc.array(change, { maxLength: 600 }), changes => {
    const reader = create().replica
    const follower = create().replica
    reader.replace('upstreams', 1, [['a', entry('a')]], false)
    changes.forEach(({ name, removed, follows }, index) => {
      reader.applyChanges('upstreams', index + 2, [{ revision: index + 2, name, afterOutage: false, ...(removed ? {} : { entry: entry(name) }) }])
      if (follows) follower.applyUpdate('upstreams', reader.updateSince('upstreams', follower.revisions().upstreams))
    })
    follower.applyUpdate('upstreams', reader.updateSince('upstreams', follower.revisions().upstreams))
    const all = (replica: typeof reader): unknown => [...replica.updateSince('upstreams', -1).entries ?? []].sort()
    expect(all(follower)).toEqual(all(reader))
  }), { numRuns: 30 })
})

it('a lapse after an outage is passed on as such, guarding against instances that drop all upstreams', () => {
  const reader = create().replica
  const { replica: follower, events } = create()
  reader.replace('upstreams', 1, [['a', entry('a')]], false)
  follower.applyUpdate('upstreams', reader.updateSince('upstreams', -1))
  reader.applyChanges('upstreams', 2, [{ revision: 2, name: 'a', afterOutage: true }])
  follower.applyUpdate('upstreams', reader.updateSince('upstreams', 1))
  expect(events.at(-1)).toEqual({ type: 'upstream-changed', id: 'a', afterOutage: true })
})
