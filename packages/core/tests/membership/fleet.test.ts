import type { Node } from './fleet.js'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { listedUpstream } from '../fixtures.js'
import { Fleet } from './fleet.js'

const seed = fc.integer()
/** Zones of 7 entry instances, the size of the production fleet, but in 4 zones of two regions instead of 6 zones. */
const SMALL_FLEET_ZONES = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3', 'z4']
const WARM_UP_MS = 3_000
/** Fewer property runs than elsewhere, because each simulates up to 25 s of a fleet. */
const RUN_OPTIONS = { numRuns: Number(process.env.FC_RUNS ?? 15) }
/** The runs take 2 s in total on an idle machine, but much longer on a busy one. */
const TIMEOUT_MS = 60_000

describe('membership of a fleet', { timeout: TIMEOUT_MS }, () => {
  it('detects a crash within 3.4 s and the return within 2.5 s, guarding against requests to crashed instances', () => {
    fc.assert(fc.property(seed, fc.nat({ max: SMALL_FLEET_ZONES.length - 1 }), (random, crashedIndex) => {
      const fleet = new Fleet(SMALL_FLEET_ZONES, random)
      fleet.lossPercent = 10
      fleet.run(WARM_UP_MS)
      expect(fleet.observedStates().filter(state => !state.endsWith(' live'))).toEqual([])
      const node = fleet.nodes.get(`i${crashedIndex}`) as Node
      node.isUp = false
      // A sighting is older than its stated age by the delay of the message, so detection may take more than 3 s.
      fleet.run(3_400)
      for (const state of fleet.observedStates()) expect(state.endsWith(`>i${crashedIndex} silent`)).toBe(state.includes(`>i${crashedIndex} `))
      node.isUp = true
      fleet.run(2_500)
      expect(fleet.observedStates().filter(state => !state.endsWith(' live'))).toEqual([])
    }), RUN_OPTIONS)
  })

  it('learns of an instance through other peers, guarding against a broken link that looks like a crash', () => {
    fc.assert(fc.property(seed, random => {
      const fleet = new Fleet(SMALL_FLEET_ZONES, random)
      fleet.connected = (from, to) => `${from.self.id} ${to.self.id}` !== 'i0 i1' && `${from.self.id} ${to.self.id}` !== 'i1 i0'
      fleet.run(WARM_UP_MS)
      for (let sample = 0; sample < 20; sample += 1) {
        fleet.run(500)
        expect(fleet.observedStates().filter(state => !state.endsWith(' live'))).toEqual([])
      }
    }), RUN_OPTIONS)
  })

  it('reconnects after a partition between regions, guarding against silent peers that get no more heartbeats', () => {
    fc.assert(fc.property(seed, random => {
      const fleet = new Fleet(SMALL_FLEET_ZONES, random)
      const region = (node: Node): boolean => node.self.zone < 'z3'
      fleet.connected = (from, to) => region(from) === region(to)
      fleet.run(20_000)
      expect(fleet.observedStates().filter(state => state.endsWith(' silent'))).toHaveLength(4 * 3 * 2)
      fleet.connected = () => true
      fleet.run(2_000)
      expect(fleet.observedStates().filter(state => !state.endsWith(' live'))).toEqual([])
    }), RUN_OPTIONS)
  })

  it.each([['of 3', 3], ['of 12', 12], ['of 46', 46]])(
    'spreads the leaving state of an upstream in a zone %s within 3 s, guarding against new requests to it', (_name, size) => {
      fc.assert(fc.property(seed, fc.nat({ max: size - 1 }), (random, firstIndex) => {
        const fleet = new Fleet(Array.from({ length: size }, () => 'z1'), random)
        fleet.lossPercent = 20
        fleet.deliverList(listedUpstream('u1', 'z1'))
        fleet.run(WARM_UP_MS)
        const node = fleet.nodes.get(`i${firstIndex}`) as Node
        const attempt = { requestId: 'r', target: { type: 'upstream' as const, id: 'u1' }, zone: 'z1', startedAt: 0, hedge: false }
        node.world.attempts.set('a', { ...attempt, id: 'a', state: 'written' })
        fleet.dispatch(node, { type: 'attempt-answered', attemptId: 'a', status: 200, leaving: true })
        fleet.run(3_000)
        // The platform's list lags and still contains the upstream as live.
        fleet.deliverList(listedUpstream('u1', 'z1'))
        const states = [...fleet.nodes.values()].map(({ world }) => world.upstreams.get('u1')?.state)
        expect(states.filter(state => state !== 'leaving')).toEqual([])
      }), RUN_OPTIONS)
    })
})
