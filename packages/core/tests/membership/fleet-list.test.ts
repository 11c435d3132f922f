import type { Command } from '../../src/command.js'
import type { ListedInstance } from '../../src/event.js'
import type { System } from '../../src/system.js'
import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { buildFleetList } from '../../src/membership/fleet-list.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { createHeartbeat, listedUpstream, createLocalInstance } from '../fixtures.js'

const ENTRIES: readonly ListedInstance[] = [
  { id: 'i2', role: 'entry', zone: 'z2', address: 'i2:1', peerAddress: 'i2:2', state: 'live' },
  listedUpstream('u1', 'z1', 'live'),
  listedUpstream('u2', 'z2', 'leaving')
]

function receiveHeartbeat (system: System, id: string, now: number): readonly Command[] {
  return runSystems([system], { type: 'heartbeat-received', heartbeat: createHeartbeat(createLocalInstance(id, 'z2')) }, now)
}

describe('buildFleetList', () => {
  it('supplies upstreams to a peer started in a platform outage, guarding against an instance that can serve nothing', () => {
    const listedWorld = createWorld(createLocalInstance('i2', 'z2'))
    runSystems([createMembershipSystem(listedWorld)], { type: 'list-received', entries: ENTRIES }, 0)
    const unlistedWorld = createWorld(createLocalInstance('i1', 'z1'))
    const membership = createMembershipSystem(unlistedWorld)
    expect(receiveHeartbeat(membership, 'i2', 0)).toEqual([{ type: 'pull-list', instanceId: 'i2', address: 'i2:2' }])
    runSystems([membership], { type: 'list-received', entries: buildFleetList(listedWorld) }, 10)
    const states = [...unlistedWorld.upstreams.values()].map(row => [row.id, row.zone, row.state])
    expect(states).toEqual([['u1', 'z1', 'live'], ['u2', 'z2', 'leaving']])
    expect(unlistedWorld.instances.get('i2')?.state).toBe('live')
    expect(receiveHeartbeat(membership, 'i2', 5_000)).toEqual([])
  })

  it('is pulled again after a lost reply, but not after each heartbeat', () => {
    const membership = createMembershipSystem(createWorld(createLocalInstance('i1', 'z1')))
    expect([0, 500, 1_000].map(now => receiveHeartbeat(membership, 'i2', now).length)).toEqual([1, 0, 1])
  })

  it('is empty without upstreams, guarding against two instances that take each other\'s incomplete lists as complete', () => {
    expect(buildFleetList(createWorld(createLocalInstance('i1', 'z1')))).toEqual([])
  })
})
