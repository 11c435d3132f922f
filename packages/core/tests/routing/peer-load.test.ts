import { describe, expect, it } from 'vitest'
import { createPeerLoad } from '../../src/routing/peer-load.js'
import { createTestWorld } from './fake-dependencies.js'

const peer = { ...createTestWorld(0).instances.get('p2')!, headroomAt: 10 }
const freeSlots = (load: ReturnType<typeof createPeerLoad>, now: number, headroomAt = 10): number =>
  load.estimateSlots({ ...peer, headroomAt }, 's', 'short', now).free

describe('peer load', () => {
  it('does not count a forward again that a heartbeat already includes, guarding against free slots that stay unused', () => {
    const load = createPeerLoad()
    load.recordStart('p2', 's')
    expect(freeSlots(load, 11)).toBe(0)
    load.recordHeartbeat('p2')
    expect(freeSlots(load, 12)).toBe(1)
    load.recordEnd('p2', 's', true)
    expect(freeSlots(load, 13)).toBe(2)
  })

  it('uses the headroom of an answer until a newer heartbeat, guarding against forwards based on headroom a second old', () => {
    const load = createPeerLoad()
    load.recordStart('p2', 's')
    load.recordAnswerHeadroom('p2', { service: 's', free: 7, slots: 9, queued: 0 }, 11)
    expect(freeSlots(load, 12)).toBe(7)
    load.recordEnd('p2', 's', true)
    expect(freeSlots(load, 13)).toBe(8)
    load.recordAnswerHeadroom('p2', { service: 's', free: 0, slots: 9, queued: 4 }, 14)
    expect(load.estimateSlots({ ...peer, headroomAt: 10 }, 's', 'short', 15)).toEqual({ free: 0, refused: false, slots: 9, queued: 4 })
    expect(freeSlots(load, 16, 15)).not.toBe(0)
  })

  it('raises the limit after a refusal with each answer and probes an idle peer, guarding against a peer that is never used again', () => {
    const load = createPeerLoad()
    for (let count = 0; count < 3; count += 1) load.recordStart('p2', 's')
    load.recordEnd('p2', 's', false)
    load.recordRefusal('p2', 's', 'short', 20)
    expect([freeSlots(load, 20), freeSlots(load, 20, 21)]).toEqual([0, -1])
    load.recordEnd('p2', 's', false)
    expect(freeSlots(load, 21)).toBe(1)
    for (let count = 0; count < 10; count += 1) {
      load.recordStart('p2', 's')
      load.recordEnd('p2', 's', true)
    }
    expect(freeSlots(load, 22)).toBe(2)
    const idlePeer = createPeerLoad()
    idlePeer.recordRefusal('p2', 's', 'short', 20)
    expect([freeSlots(idlePeer, 119), freeSlots(idlePeer, 120)]).toEqual([0, 1])
  })
})
