/**
 * Guards against requests that go to a slower region: the limit on the change of the moved share would keep sending
 * them there for a while after the load has shifted.
 */
import type { Dispatch, Steering, SteeringCommand } from '../src/index.js'
import { expect, it, vi } from 'vitest'
import { arrival, startSteering, upstreamEntry } from './fixtures.js'

const NEAR = upstreamEntry('near', { zone: 'a1', address: '10.0.0.1:1' })
const FAR = upstreamEntry('far', { zone: 'b1', address: '10.0.0.2:1' })

let lastId = 0

/** Sends a request, answers it with the given load and returns its upstream. */
function send (steering: Steering, load: Readonly<Record<string, number>>): string | undefined {
  lastId += 1
  const [command] = steering.handle(arrival(`r${lastId}`, '/read/x')) as [Dispatch | SteeringCommand]
  if (command.type !== 'dispatch') return undefined
  vi.advanceTimersByTime(10)
  const running = load[command.upstreamId] ?? 0
  steering.handle({ type: 'attempt-answered', attemptId: command.attemptId, status: 200, load: { running, waiting: 0, slots: 9, slowdown: 1 } })
  return command.upstreamId
}

it('stops moving requests to the other region once it is much slower, guarding against moves made only to keep the share of moved requests steady', () => {
  const steering = startSteering([NEAR, FAR])
  for (let count = 0; count < 2_000; count += 1) send(steering, { near: 60, far: 0 })
  const before = Array.from({ length: 100 }, () => send(steering, { near: 60, far: 0 }))
  expect(before.filter(id => id === 'far').length).toBeGreaterThan(30)
  const after = Array.from({ length: 100 }, () => send(steering, { near: 0, far: 90 }))
  expect(after.slice(20).filter(id => id === 'far').length).toBeLessThan(5)
  expect(after).not.toContain(undefined)
})
