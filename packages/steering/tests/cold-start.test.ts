/**
 * Guards against a cold upstream that gets more requests than it can handle and crashes. Each instance sees only its
 * own requests, so the limit could be exceeded when several instances send at once.
 */
import type { Steering, SteeringCommand } from '../src/index.js'
import { expect, it, vi } from 'vitest'
import { DEPLOYMENT, arrival, startSteering, upstreamEntries, upstreamEntry } from './fixtures.js'

const LIMIT = 10 * 1.5 + 5

function startInstances (count: number, start: (id: string) => Steering): readonly Steering[] {
  const ids = Array.from({ length: count }, (_, index) => `entry-${index}`)
  return ids.map(id => {
    const steering = start(id)
    steering.handle({ type: 'instances-counted', ids })
    return steering
  })
}

/** Sends requests through all instances in steps of 20 ms and returns the times of the attempts at each upstream. */
function sendRequests (engines: readonly Steering[], perStep: number, steps = 150): Map<string, number[]> {
  const attemptTimes = new Map<string, number[]>()
  let id = 0
  for (let step = 0; step < steps; step += 1) {
    vi.advanceTimersByTime(20)
    for (const engine of engines) {
      for (let count = 0; count < perStep; count += 1) {
        id += 1
        for (const command of engine.handle(arrival(`r${id}`, '/read/x', String(id % 50)))) {
          if (command.type !== 'dispatch') continue
          attemptTimes.set(command.upstreamId, [...attemptTimes.get(command.upstreamId) ?? [], performance.now()])
          engine.handle({ type: 'attempt-answered', attemptId: command.attemptId, status: 200 })
        }
      }
    }
  }
  return attemptTimes
}

function maxPerSecond (times: readonly number[]): number {
  return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + 1_000).length))
}

it.each([1, 3, 7, 40])('keeps the requests of %i instances to a cold upstream within its limit per second, guarding against a crash soon after its start', count => {
  const cold = upstreamEntries(3).map((entry, index) => index === 0 ? { ...entry, coldMs: 4_000 } : entry)
  const attemptTimes = sendRequests(startInstances(count, id => startSteering(cold, { self: { id, zone: 'a1', region: 'a' } })), 2)
  expect(maxPerSecond(attemptTimes.get('u1') ?? [])).toBeLessThanOrEqual(LIMIT)
  expect(attemptTimes.get('u1')?.length ?? 0).toBeGreaterThan(0)
})

it('limits the upstreams of a formerly evacuated zone until a probe reports them warm, guarding against full load on empty caches', () => {
  const engines = startInstances(7, id => startSteering([upstreamEntry('u1', { zone: 'a2' })], { self: { id, zone: 'a1', region: 'a' } }))
  const probes: SteeringCommand[] = []
  for (const engine of engines) {
    engine.handle({ type: 'evacuations-received', zones: ['a2'] })
    expect(engine.handle(arrival('during', '/read/x'))).toMatchObject([{ type: 'respond', status: 503 }])
    probes.push(...engine.handle({ type: 'evacuations-received', zones: [] }).filter(({ type }) => type === 'probe'))
  }
  expect(probes).toHaveLength(7)
  vi.advanceTimersByTime(1_000)
  expect(maxPerSecond(sendRequests(engines, 2, 90).get('u1') ?? [])).toBeLessThanOrEqual(LIMIT)
  for (const engine of engines) engine.handle({ type: 'upstream-probed', upstreamId: 'u1', healthy: true, answeredBy: 'u1', coldMs: 0 })
  expect(maxPerSecond(sendRequests(engines, 2).get('u1') ?? [])).toBeGreaterThan(LIMIT)
})

it('restores an unreachable upstream after a healthy probe, with the cold time that the probe reports, guarding against full load after a restart', () => {
  const steering = startSteering(upstreamEntries(1), {}, DEPLOYMENT)
  const [first] = steering.handle(arrival('r1', '/buy/x')) as [Extract<SteeringCommand, { type: 'dispatch' }>]
  steering.handle({ type: 'attempt-refused', attemptId: first.attemptId, cause: 'unreachable' })
  expect(steering.handle({ type: 'tick' })).toMatchObject([{ type: 'probe', upstreamId: 'u1' }])
  steering.handle({ type: 'upstream-probed', upstreamId: 'u1', healthy: true, answeredBy: 'u1', coldMs: 2_000 })
  expect([...steering.upstreams()][0]).toMatchObject({ suspectSince: undefined, coldUntil: performance.now() + 2_000 })
})
