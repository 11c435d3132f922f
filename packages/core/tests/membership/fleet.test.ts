import type { Node } from './fleet.js'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { listedUpstream } from '../fixtures.js'
import { Fleet } from './fleet.js'

const seed = fc.integer()
/** The current fleet: 7 entry instances over 6 zones, here 4 of them in two regions. */
const SMALL_FLEET_ZONES = ['z1', 'z1', 'z2', 'z2', 'z3', 'z3', 'z4']
const WARM_UP_MS = 3_000
/** A run simulates up to 25 s of a fleet, so there are fewer of them than elsewhere. */
const RUN_OPTIONS = { numRuns: Number(process.env.FC_RUNS ?? 15) }
/** The runs take 2 s in all on an idle machine, but much longer beside other work. */
const TIMEOUT_MS = 60_000

describe('a fleet', { timeout: TIMEOUT_MS }, () => {
  it('sees a crash within 3.4 s and the return within 2.5 s, guarding against work for dead instances', () => {
    fc.assert(fc.property(seed, fc.nat({ max: SMALL_FLEET_ZONES.length - 1 }), (random, crashedIndex) => {
      const fleet = new Fleet(SMALL_FLEET_ZONES, random)
      fleet.lossPercent = 10
      fleet.run(WARM_UP_MS)
      expect(fleet.observedStates().filter(state => !state.endsWith(' live'))).toEqual([])
      const node = fleet.nodes.get(`i${crashedIndex}`) as Node
      node.isUp = false
      // A digest adds the delay of its messages to the age that it states.
      fleet.run(3_400)
      for (const state of fleet.observedStates()) expect(state.endsWith(`>i${crashedIndex} silent`)).toBe(state.includes(`>i${crashedIndex} `))
      node.isUp = true
      fleet.run(2_500)
      expect(fleet.observedStates().filter(state => !state.endsWith(' live'))).toEqual([])
    }), RUN_OPTIONS)
  })

  it('hears of an instance through others, guarding against a broken path that looks like a crash', () => {
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

  it('finds together after a partition between regions, guarding against peers that are forgotten', () => {
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
    'marks a leaving upstream in all of a zone %s within 3 s, guarding against new work for it', (_name, size) => {
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
        // The list lags and still says that the upstream is live.
        fleet.deliverList(listedUpstream('u1', 'z1'))
        const states = [...fleet.nodes.values()].map(({ world }) => world.upstreams.get('u1')?.state)
        expect(states.filter(state => state !== 'leaving')).toEqual([])
      }), RUN_OPTIONS)
    })
})
