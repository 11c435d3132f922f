/**
 * Guards against large answers that nobody reads: they can't be kept until it is clear whether they are needed.
 */
import type { Dispatch, SteeringCommand } from '../src/index.js'
import { expect, it, vi } from 'vitest'
import { arrival, startSteering, upstreamEntries } from './fixtures.js'

function dispatchOf (commands: readonly SteeringCommand[]): Dispatch {
  const dispatch = commands.find(command => command.type === 'dispatch')
  if (dispatch === undefined) throw new Error('not dispatched')
  return dispatch
}

it('cancels a large failed answer when it retries the request, and does not relay it later', () => {
  const steering = startSteering(upstreamEntries(4))
  const first = dispatchOf(steering.handle(arrival('r', '/read/1')))
  const commands = steering.handle({ type: 'attempt-answered', attemptId: first.attemptId, status: 500, isPartial: true })
  const second = dispatchOf(commands)
  expect(commands).toContainEqual({ type: 'cancel', attemptId: first.attemptId })
  expect(steering.handle({ type: 'attempt-broken', attemptId: second.attemptId, cause: 'reset' })).toMatchObject([{ type: 'respond', status: 502 }])
})

it('relays a large failed answer at once if the request is not sent again', () => {
  const steering = startSteering(upstreamEntries(4))
  const { attemptId } = dispatchOf(steering.handle(arrival('r', '/buy/1')))
  expect(steering.handle({ type: 'attempt-answered', attemptId, status: 500, isPartial: true })).toMatchObject([{ type: 'relay', attemptId }])
})

it('cancels a large answer whose caller has left, and an attempt that is not answered in its request\'s time', () => {
  const steering = startSteering(upstreamEntries(4))
  const [large, silent] = ['large', 'silent'].map(id => dispatchOf(steering.handle(arrival(id, '/buy/1'))))
  for (const requestId of ['large', 'silent']) expect(steering.handle({ type: 'request-cancelled', requestId })).toEqual([])
  expect(steering.handle({ type: 'attempt-answered', attemptId: large.attemptId, status: 200, isPartial: true })).toEqual([{ type: 'cancel', attemptId: large.attemptId }])
  vi.advanceTimersByTime(large.timeoutMs)
  expect(steering.handle({ type: 'tick' })).toEqual([{ type: 'cancel', attemptId: silent.attemptId }])
  expect([...steering.upstreams()].map(({ outstanding }) => outstanding)).toEqual([0, 0, 0, 0])
})
