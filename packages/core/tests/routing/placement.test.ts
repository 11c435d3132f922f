import { describe, expect, it } from 'vitest'
import type { Headroom } from '../../src/heartbeat.js'
import type { World } from '../../src/tables.js'
import { setUpRouting, commandTypes } from './set-up-routing.js'

const noShifts = { recordRequest: () => {}, mayMove: () => false, recordMove: () => {} }

function setPeer (world: World, headroom: Partial<Headroom>): void {
  const peer = world.instances.get('p2')!
  world.instances.set('p2', {
    ...peer, headroom: new Map([['s', { service: 's', free: 1, slots: 2, queued: 0, ...headroom }]])
  })
}

describe('placement', () => {
  it('queues a request while the own queue is expected to be faster than the round trip to a peer and the wait there', () => {
    const { world, arrive } = setUpRouting(1)
    setPeer(world, { free: 0, queued: 1 })
    arrive('q1', '/plain')
    arrive('q2', '/plain')
    // 5 ms in the own queue; 3 ms of round trip and 10 ms of waiting at the peer.
    expect(arrive('q3', '/plain')).toEqual([])
    setPeer(world, { free: 1, queued: 1 })
    // 10 ms in the own queue; 3 ms of round trip to the peer.
    expect(commandTypes(arrive('q4', '/plain'))).toEqual(['forward'])
    // The peer's free slot is now used by q4, so 3 ms of round trip and 10 ms of waiting at the peer.
    expect(arrive('q5', '/plain')).toEqual([])
  })

  it('refuses a request that has no free slot and may not move, guarding against traffic above the shift cap', () => {
    const { arrive } = setUpRouting(0, { shiftLimiter: noShifts })
    expect(arrive('q1', '/plain')).toMatchObject([{ type: 'respond', outcome: 'not-run', reason: 'shift-cap', retryAfterMs: 1_000 }])
  })

  it('counts a request of another origin zone as moved, guarding against a shift cap that is bypassed by look-ups', () => {
    const { world, arrive } = setUpRouting(1, { shiftLimiter: noShifts, resolveOrigin: () => ({ zone: 'z2', tenant: 't' }) })
    expect(commandTypes(arrive('q1', '/plain'))).toEqual(['forward'])
    world.instances.clear()
    expect(arrive('q2', '/plain')).toMatchObject([{ type: 'respond', reason: 'shift-cap' }])
  })

  it('forwards new requests of a drained zone, guarding against a confirmed drain that has no effect', () => {
    const { world, arrive } = setUpRouting(1)
    world.configuration = { ...world.configuration!, drains: [{ kind: 'zone', target: 'z1' }] }
    expect(commandTypes(arrive('q1', '/plain'))).toEqual(['forward'])
  })

  it('forwards queued requests when the own zone loses its upstreams, guarding against requests that wait for nothing', () => {
    const { world, handle, arrive } = setUpRouting(1)
    setPeer(world, { free: 0, queued: 9 })
    for (const id of ['q1', 'q2', 'q3']) arrive(id, '/plain')
    world.upstreams.clear()
    expect(commandTypes(handle({ type: 'tick' }, 10))).toEqual(['forward'])
  })

  it('queues requests after a peer refused, guarding against repeated forwards based on outdated headroom', () => {
    const { handle, arrive } = setUpRouting(1)
    for (const id of ['q1', 'q2', 'q3']) arrive(id, '/plain')
    expect(handle({ type: 'attempt-refused', attemptId: 'a3', proof: 'shed' }, 3)).toEqual([])
    // The peer has reported no headroom since its refusal.
    expect(arrive('q4', '/plain', {}, 3)).toEqual([])
    handle({ type: 'attempt-answered', attemptId: 'a1', status: 200 }, 4)
    expect(handle({ type: 'attempt-finished', attemptId: 'a1' }, 5)).toMatchObject([{ type: 'dispatch', requestId: 'q3' }])
  })
})

describe('retries and hedges', () => {
  const exhaustedBudget = { recordRequest: () => {}, tryAcquire: () => false }
  const hedgePolicy = { recordLatency: () => {}, delayMs: () => 5, tryAcquire: (_service: string, share: number) => share > 0.4 }

  it('charges the retry budget for a retry after a refusal, but not when the refusing upstream is leaving', () => {
    const leaving = setUpRouting(2, { retryBudget: exhaustedBudget })
    leaving.arrive('q1', '/plain')
    expect(leaving.handle({ type: 'attempt-refused', attemptId: 'a1', proof: 'shed', leaving: true }, 1)).toMatchObject(
      [{ type: 'dispatch', upstreamId: 'u2' }])
    const shed = setUpRouting(2, { retryBudget: exhaustedBudget })
    shed.arrive('q1', '/plain')
    expect(shed.handle({ type: 'attempt-refused', attemptId: 'a1', proof: 'shed' }, 1)).toMatchObject(
      [{ type: 'respond', outcome: 'not-run', reason: 'retry-budget' }])
  })

  it('relays the first answer of a hedged pair and cancels the other attempt, guarding against two answers and an occupied slot', () => {
    const { handle, arrive } = setUpRouting(2, { hedgePolicy })
    arrive('q1', '/repeatable')
    expect(handle({ type: 'tick' }, 4)).toEqual([])
    expect(handle({ type: 'tick' }, 5)).toMatchObject([{ type: 'dispatch', attemptId: 'a2', upstreamId: 'u2' }])
    expect(handle({ type: 'attempt-answered', attemptId: 'a2', status: 200 }, 7)).toMatchObject([
      { type: 'cancel-attempt', attemptId: 'a1' }, { type: 'relay', attemptId: 'a2', reason: 'hedged' }
    ])
    expect(handle({ type: 'attempt-answered', attemptId: 'a1', status: 200 }, 8)).toEqual([])
  })

  it('does not retry or hedge a request with a streamed body, guarding against a second attempt without a body', () => {
    const { handle, arrive } = setUpRouting(2, { hedgePolicy })
    arrive('q1', '/repeatable', { singleUseBody: true })
    expect(handle({ type: 'tick' }, 5)).toEqual([])
    handle({ type: 'attempt-written', attemptId: 'a1' }, 6)
    expect(handle({ type: 'attempt-failed', attemptId: 'a1', truncated: false }, 7)).toMatchObject(
      [{ type: 'respond', outcome: 'unknown', reason: 'upstream-failed' }])
    arrive('q2', '/plain', {}, 8)
    expect(handle({ type: 'attempt-refused', attemptId: 'a2', proof: 'shed', bodyConsumed: true }, 9)).toMatchObject(
      [{ type: 'respond', outcome: 'not-run', reason: 'upstream-refused' }])
  })

  it('does not hedge plain requests, nor without free slots, guarding against second runs and added load', () => {
    const { handle, arrive } = setUpRouting(2, { hedgePolicy })
    arrive('q1', '/plain')
    expect(handle({ type: 'tick' }, 5)).toEqual([])
    for (const id of ['q2', 'q3']) arrive(id, '/repeatable', {}, 6)
    expect(handle({ type: 'tick' }, 11)).toEqual([])
  })
})
