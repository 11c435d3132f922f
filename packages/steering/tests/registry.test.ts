import type { SteeringCommand } from '../src/index.js'
import { expect, it, vi } from 'vitest'
import { MISSING_GRACE_MS } from '../src/index.js'
import { arrival, startSteering, upstreamEntry } from './fixtures.js'

function target (commands: readonly SteeringCommand[]): string | undefined {
  const [command] = commands
  return command?.type === 'dispatch' ? command.upstreamId : undefined
}

it('a draining upstream gets no new request, guarding against work that its stop cuts off', () => {
  const steering = startSteering([upstreamEntry('u1')])
  steering.handle({ type: 'upstream-changed', id: 'u1', entry: upstreamEntry('u1', { state: 'draining' }), afterOutage: false })
  expect(steering.handle(arrival('r1', '/read/x'))).toMatchObject([{ type: 'respond', status: 503, reason: 'no-upstream' }])
})

it('a removed upstream gets no new request', () => {
  const steering = startSteering([upstreamEntry('u1')])
  steering.handle({ type: 'upstream-changed', id: 'u1', afterOutage: false })
  expect(target(steering.handle(arrival('r1', '/read/x')))).toBeUndefined()
})

it('an entry that lapsed while the store was away is used until it should be back, guarding against an empty list after an outage', () => {
  const steering = startSteering([upstreamEntry('u1'), upstreamEntry('u2')])
  steering.handle({ type: 'upstreams-listed', entries: [], afterOutage: true })
  expect(target(steering.handle(arrival('r1', '/read/x')))).toBeDefined()
  steering.handle({ type: 'upstream-changed', id: 'u2', entry: upstreamEntry('u2'), afterOutage: true })
  vi.advanceTimersByTime(MISSING_GRACE_MS)
  const notes = steering.handle({ type: 'tick' }).filter(({ type }) => type === 'note')
  expect(notes).toMatchObject([{ type: 'note', subject: 'upstream-removed', id: 'u1' }])
  expect(target(steering.handle(arrival('r2', '/read/x')))).toBe('u2')
})

it('an upstream that starts again under its id loses what was learned of the earlier process', () => {
  const steering = startSteering([upstreamEntry('u1')])
  steering.handle({ type: 'upstream-changed', id: 'u1', entry: upstreamEntry('u1', { bornAt: 2, coldMs: 3_000 }), afterOutage: false })
  expect([...steering.upstreams()][0].coldUntil).toBe(performance.now() + 3_000)
})

it('an address that answers as another upstream is given up at once', () => {
  const steering = startSteering([upstreamEntry('u1'), upstreamEntry('u2')])
  const [command] = steering.handle(arrival('r1', '/buy/x'))
  if (command.type !== 'dispatch') throw new Error('not dispatched')
  const next = steering.handle({ type: 'attempt-refused', attemptId: command.attemptId, cause: 'misdirected' })
  expect(next.map(({ type }) => type)).toEqual(['note', 'dispatch'])
  expect([...steering.upstreams()].map(({ id }) => id)).not.toContain(command.upstreamId)
})

it('an older configuration never replaces a newer one', () => {
  const steering = startSteering([])
  const deployment = steering.deployment()
  if (deployment === undefined) throw new Error('no deployment')
  expect(steering.handle({ type: 'deployment-received', deployment: { ...deployment, version: 0 } })).toEqual([])
  expect(steering.deployment()?.version).toBe(1)
})
