import type { Command } from '../../src/command.js'
import type { Event, ListedInstance } from '../../src/event.js'
import type { Heartbeat } from '../../src/heartbeat.js'
import type { World } from '../../src/tables.js'
import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { CONFIGURATION, createHeartbeat, listedUpstream, listedEntryInstance, createLocalInstance } from '../fixtures.js'

const peer = createLocalInstance('i2', 'z1')

function createSystem (): { world: World, handle: (event: Event, now: number) => readonly Command[] } {
  const world = createWorld(createLocalInstance('i1', 'z1'))
  const system = createMembershipSystem(world)
  return { world, handle: (event, now) => runSystems([system], event, now) }
}

function listReceived (...entries: readonly ListedInstance[]): Event {
  return { type: 'list-received', entries }
}

function heartbeatReceived (sender = peer, fields: Partial<Heartbeat> = {}): Event {
  return { type: 'heartbeat-received', heartbeat: createHeartbeat(sender, fields) }
}

describe('instances', () => {
  it('are silent after 3 s and live again when heard, guarding against routing to a crashed instance', () => {
    const { world, handle } = createSystem()
    const state = (): string | undefined => world.instances.get('i2')?.state
    handle(listReceived(listedEntryInstance('i2', 'z1')), 0)
    expect(state()).toBe('silent')
    handle(heartbeatReceived(), 0)
    handle({ type: 'tick' }, 3_000)
    expect(state()).toBe('live')
    handle({ type: 'tick' }, 3_101)
    expect(state()).toBe('silent')
    handle(listReceived(listedEntryInstance('i2', 'z1')), 3_200)
    expect(state()).toBe('silent')
    const sighting = { ...createHeartbeat(peer), ageMs: 2_900 }
    handle(heartbeatReceived(createLocalInstance('i3', 'z1'), { sightings: [{ ...sighting, ageMs: 3_100 }] }), 3_200)
    expect(state()).toBe('silent')
    handle(heartbeatReceived(createLocalInstance('i3', 'z1'), { sightings: [sighting] }), 3_200)
    expect(state()).toBe('live')
    handle({ type: 'tick' }, 3_400)
    expect(state()).toBe('silent')
  })

  it('stay leaving until they restart, guarding against a lagging list that makes them live again', () => {
    const { world, handle } = createSystem()
    const state = (): string | undefined => world.instances.get('i2')?.state
    handle(heartbeatReceived(peer, { state: 'leaving' }), 0)
    handle(listReceived(listedEntryInstance('i2', 'z1')), 1)
    handle(heartbeatReceived(), 2)
    expect(state()).toBe('leaving')
    handle(heartbeatReceived({ ...peer, incarnation: 'i2-b' }), 3)
    expect(state()).toBe('live')
    handle(heartbeatReceived(peer), 4)
    expect(world.instances.get('i2')?.incarnation).toBe('i2-b')
    handle(listReceived(listedEntryInstance('i2', 'z1', 'leaving')), 5)
    expect(state()).toBe('leaving')
    handle(heartbeatReceived({ ...peer, incarnation: 'i2-c' }), 6)
    handle(listReceived(listedEntryInstance('i2', 'z1', 'leaving')), 7)
    expect(state()).toBe('live')
  })
})

describe('upstreams', () => {
  it('stay leaving whichever source reported it, guarding against new requests to a leaving upstream', () => {
    const { world, handle } = createSystem()
    const ids = ['by-list', 'by-peer', 'by-drain', 'by-answer', 'by-refusal']
    const all = listReceived(...ids.map(id => listedUpstream(id, 'z1')), listedUpstream('stays', 'z1'))
    handle(heartbeatReceived(peer, { leavingUpstreams: ['by-peer'] }), 0)
    handle(all, 1)
    for (const id of ['by-answer', 'by-refusal']) {
      const attempt = { requestId: 'r', target: { type: 'upstream' as const, id }, zone: 'z1', startedAt: 0, hedge: false }
      world.attempts.set(id, { ...attempt, id, state: 'written' })
    }
    handle({ type: 'attempt-answered', attemptId: 'by-answer', status: 200, leaving: true }, 2)
    handle({ type: 'attempt-refused', attemptId: 'by-refusal', proof: 'shed', leaving: true }, 2)
    const drains = [{ kind: 'upstream' as const, target: 'by-drain' }]
    handle({ type: 'configuration-received', source: 'platform', configuration: { ...CONFIGURATION, drains } }, 3)
    handle(listReceived(listedUpstream('by-list', 'z1', 'leaving')), 4)
    handle(all, 5)
    expect([...world.upstreams.values()].filter(row => row.state === 'leaving').map(row => row.id).sort()).toEqual([...ids].sort())
    expect(world.upstreams.get('by-answer')?.leavingAt).toBe(2)
  })

  it('are removed 30 s after the first list without them, guarding against incomplete or empty lists', () => {
    const { world, handle } = createSystem()
    handle(listReceived(listedUpstream('u1', 'z1'), listedUpstream('u2', 'z1')), 0)
    handle(listReceived(), 50_000)
    handle(listReceived(listedUpstream('u2', 'z1')), 90_000)
    handle(listReceived(listedUpstream('u2', 'z1')), 119_999)
    expect(world.upstreams.has('u1')).toBe(true)
    handle(listReceived(listedUpstream('u2', 'z1')), 120_000)
    expect([...world.upstreams.keys()]).toEqual(['u2'])
  })
})

describe('heartbeats', () => {
  it('go to at most 6 peers each second with at most 8 sightings, guarding against traffic that grows with the fleet', () => {
    const { world, handle } = createSystem()
    handle({ type: 'configuration-received', source: 'peer', configuration: CONFIGURATION }, 0)
    world.configuration = CONFIGURATION
    const peers = Array.from({ length: 40 }, (_, index) => createLocalInstance(`p${index}`, `z${index % 4 + 1}`))
    handle(listReceived(...peers.map(row => listedEntryInstance(row.id, row.zone))), 0)
    const reached = new Set<string>()
    for (let now = 0; now < 60_000; now += 10) {
      if (now % 1_000 === 0) for (const row of peers) handle(heartbeatReceived(row), now)
      const sent = handle({ type: 'tick' }, now)
      expect(sent.length).toBe(now % 1_000 === 0 ? 6 : 0)
      for (const command of sent) {
        if (command.type !== 'send-heartbeat') continue
        reached.add(command.instanceId)
        expect(command.heartbeat.sightings.length).toBe(8)
      }
    }
    expect(reached.size).toBe(40)
  })

  it('announce a planned stop at once, guarding against look-ups that return a stopping instance', () => {
    const { world, handle } = createSystem()
    handle(heartbeatReceived(), 0)
    handle({ type: 'tick' }, 0)
    world.stoppingSince = 10
    handle({ type: 'stop-requested' }, 10)
    expect(handle({ type: 'tick' }, 20)).toMatchObject([{ type: 'send-heartbeat', instanceId: 'i2', heartbeat: { state: 'leaving' } }])
  })
})
