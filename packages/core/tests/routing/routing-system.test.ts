import { MAX_DISPATCHES_PER_REQUEST } from '../../src/routing/attempt-events.js'
import { describe, expect, it } from 'vitest'
import { setUpRouting, commandTypes } from './set-up-routing.js'

const forwarded = { instanceId: 'p2', originZone: 'z2', tenant: 't', keyHome: false }

describe('routing', () => {
  it('dispatches a request, relays its answer and records the decision, guarding against a lost or unexplained answer', () => {
    const { world, routing, handle, arrive } = setUpRouting(1)
    expect(arrive('q1', '/plain')).toMatchObject([{ type: 'dispatch', attemptId: 'a1', upstreamId: 'u1', timeoutMs: 1_000 }])
    handle({ type: 'attempt-written', attemptId: 'a1' }, 1)
    expect(handle({ type: 'attempt-answered', attemptId: 'a1', status: 200 }, 5)).toEqual(
      [{ type: 'relay', requestId: 'q1', attemptId: 'a1', reason: 'home-zone' }])
    expect(handle({ type: 'attempt-finished', attemptId: 'a1' }, 6)).toEqual([])
    expect(routing.explain('q1')).toMatchObject({
      outcome: 'served', reason: 'home-zone', attempts: [{ target: 'u1', zone: 'z1', end: 'finished' }]
    })
    expect(world.requests.size + world.attempts.size).toBe(0)
  })

  it('forwards when the own zone has no upstream, guarding against refusals while another zone has free slots', () => {
    const { arrive } = setUpRouting(0)
    expect(arrive('q1', '/plain')).toMatchObject([{ type: 'forward', instanceId: 'p2', address: 'p2:2', originZone: 'z1' }])
  })

  it('refuses a forwarded request when no slot is free, guarding against forwarding loops', () => {
    const { arrive } = setUpRouting(0)
    expect(arrive('q1', '/plain', { forwarded })).toMatchObject(
      [{ type: 'respond', outcome: 'not-run', reason: 'no-capacity', status: 503 }])
  })

  it('ends a queued request that expired during a pause of the process, guarding against a dispatch after the deadline', () => {
    const { world, handle, arrive } = setUpRouting(1)
    world.instances.clear()
    arrive('q1', '/plain', { timeoutMs: 60_000 })
    arrive('q2', '/plain', { timeoutMs: 60_000 })
    expect(arrive('q3', '/plain')).toEqual([])
    handle({ type: 'attempt-answered', attemptId: 'a1', status: 200 }, 5)
    expect(handle({ type: 'attempt-finished', attemptId: 'a1' }, 5_000)).toMatchObject(
      [{ type: 'respond', requestId: 'q3', outcome: 'not-run', reason: 'deadline-passed', status: 504 }])
  })

  it('answers unknown when the deadline passes after an attempt was written, guarding against a false not-run', () => {
    const { handle, arrive } = setUpRouting(1)
    arrive('q1', '/plain')
    handle({ type: 'attempt-written', attemptId: 'a1' }, 1)
    expect(handle({ type: 'tick' }, 1_000)).toMatchObject([
      { type: 'cancel-attempt', attemptId: 'a1' },
      { type: 'respond', outcome: 'unknown', reason: 'deadline-passed', status: 504 }
    ])
  })

  it('resets the caller when a relayed answer breaks off, guarding against a truncated answer that looks complete', () => {
    const { handle, arrive } = setUpRouting(2)
    arrive('q1', '/repeatable')
    handle({ type: 'attempt-written', attemptId: 'a1' }, 1)
    handle({ type: 'attempt-answered', attemptId: 'a1', status: 200 }, 5)
    expect(handle({ type: 'attempt-failed', attemptId: 'a1', truncated: true }, 6)).toEqual(
      [{ type: 'reset', requestId: 'q1', reason: 'upstream-truncated' }])
  })

  it('claims a key before it validates the request, guarding against not-run for a key that ran before a configuration change', () => {
    const { world, handle, arrive } = setUpRouting(1)
    arrive('q1', '/protected', { key: 'i1/k' })
    handle({ type: 'attempt-answered', attemptId: 'a1', status: 200 }, 5)
    handle({ type: 'attempt-finished', attemptId: 'a1' }, 6)
    world.configuration = { ...world.configuration!, version: 2, services: [] }
    expect(arrive('q2', '/protected', { key: 'i1/k' }, 7)).toMatchObject([{ type: 'replay', requestId: 'q2' }])
  })

  it('finishes a protected request whose caller disconnected, guarding against a key without an outcome', () => {
    const { handle, arrive } = setUpRouting(1)
    arrive('q1', '/protected', { key: 'i1/k' })
    handle({ type: 'attempt-written', attemptId: 'a1' }, 1)
    expect(handle({ type: 'request-cancelled', requestId: 'q1' }, 2)).toEqual([])
    expect(arrive('q2', '/protected', { key: 'i1/k' }, 3)).toEqual([])
    expect(commandTypes(handle({ type: 'attempt-answered', attemptId: 'a1', status: 200 }, 5))).toEqual(['relay'])
    expect(handle({ type: 'attempt-finished', attemptId: 'a1' }, 6)).toMatchObject([{ type: 'replay', requestId: 'q2' }])
  })

  it('answers unknown when the home of a key is unreachable, guarding against a second run with a new key', () => {
    const { handle, arrive } = setUpRouting(1)
    expect(arrive('q1', '/protected', { key: 'p2/k' })).toMatchObject([{ type: 'forward', instanceId: 'p2', keyHome: true }])
    expect(handle({ type: 'attempt-refused', attemptId: 'a1', proof: 'not-written' }, 1)).toMatchObject(
      [{ type: 'respond', outcome: 'unknown', reason: 'key-home-unreachable', status: 502 }])
    expect(arrive('q2', '/protected', { key: 'p9/k' }, 2)).toMatchObject([{ type: 'respond', outcome: 'unknown' }])
  })

  it('runs a request that the home of its key forwarded, guarding against a loop between home and receiver', () => {
    const { arrive } = setUpRouting(1)
    expect(commandTypes(arrive('q1', '/protected', { key: 'p2/k', forwarded }))).toEqual(['dispatch'])
  })

  it('does not count failed connections as dispatches, guarding against a request that fails because it probed a dead upstream', () => {
    const { world, handle, arrive } = setUpRouting(1)
    world.instances.clear()
    arrive('q1', '/repeatable')
    for (let attempt = 1; attempt <= 2 * MAX_DISPATCHES_PER_REQUEST; attempt += 1) {
      expect(commandTypes(handle({ type: 'attempt-refused', attemptId: `a${attempt}`, proof: 'not-written' }, attempt))).toEqual(['dispatch'])
    }
    expect(commandTypes(handle({ type: 'attempt-answered', attemptId: `a${2 * MAX_DISPATCHES_PER_REQUEST + 1}`, status: 200 }, 50))).toEqual(['relay'])
  })
})
