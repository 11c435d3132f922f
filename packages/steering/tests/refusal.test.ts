/**
 * Guards against a log line that says that a request may have run although it was never sent, or the opposite.
 */
import type { SteeringCommand } from '../src/index.js'
import { expect, it } from 'vitest'
import { POSSIBLY_RUN, REFUSAL_STATUS } from '../src/index.js'
import { arrival, startSteering, upstreamEntry } from './fixtures.js'

/** Statuses after which a request may have run. */
const PROMISE_NOTHING = [502, 504]

function reasonOf (commands: readonly SteeringCommand[]): string | undefined {
  return commands.flatMap(command => command.type === 'respond' ? [command.reason] : [])[0]
}

it('lists as possibly run exactly the reasons whose status promises nothing', () => {
  for (const [reason, status] of Object.entries(REFUSAL_STATUS)) {
    expect([reason, [...POSSIBLY_RUN].some(possible => possible === reason)]).toEqual([reason, PROMISE_NOTHING.includes(status)])
  }
})

it('counts a request without a route as not sent', () => {
  const reason = reasonOf(startSteering([upstreamEntry('u')]).handle(arrival('r', '/nowhere/')))
  expect(reason).toBe('no-route')
})

it('keeps an upstream in use when requests end before they are sent, guarding against a healthy one that becomes suspect', () => {
  const steering = startSteering([upstreamEntry('u')])
  for (const cause of ['unsent', 'unsendable'] as const) {
    const [dispatch] = steering.handle(arrival(cause, '/read/1'))
    if (dispatch?.type !== 'dispatch') throw new Error('not dispatched')
    const commands = steering.handle({ type: 'attempt-refused', attemptId: dispatch.attemptId, cause })
    expect(reasonOf(commands)).toBe(cause === 'unsent' ? 'timeout-before-run' : 'unsendable')
  }
  expect([...steering.upstreams()][0].suspectSince).toBeUndefined()
})

it('keeps the failures of an upstream when a request ends before it is sent, guarding against a failing one that never becomes suspect', () => {
  const steering = startSteering([upstreamEntry('u')])
  for (let index = 0; index < 3; index += 1) {
    const [broken] = steering.handle(arrival(`broken-${index}`, '/read/1'))
    if (broken?.type !== 'dispatch') throw new Error('not dispatched')
    steering.handle({ type: 'attempt-broken', attemptId: broken.attemptId, cause: 'reset' })
    const [unsent] = steering.handle(arrival(`unsent-${index}`, '/read/1'))
    if (unsent?.type === 'dispatch') steering.handle({ type: 'attempt-refused', attemptId: unsent.attemptId, cause: 'unsent' })
  }
  expect([...steering.upstreams()][0].suspectSince).toBeDefined()
})

it('does not say that a request was not sent if an earlier attempt may have run', () => {
  const steering = startSteering([upstreamEntry('u1'), upstreamEntry('u2', { address: '10.0.0.1:9' })])
  const [first] = steering.handle(arrival('r', '/read/1'))
  if (first?.type !== 'dispatch') throw new Error('not dispatched')
  const second = steering.handle({ type: 'attempt-broken', attemptId: first.attemptId, cause: 'reset' }).find(command => command.type === 'dispatch')
  if (second === undefined) throw new Error('not dispatched again')
  expect(reasonOf(steering.handle({ type: 'attempt-refused', attemptId: second.attemptId, cause: 'unsendable' }))).toBe('outcome-unknown')
})

it.each([
  { running: 2, waiting: 0, retryAfterMs: 50 },
  { running: 9, waiting: 4, retryAfterMs: 300 }
])('asks for a retry after $retryAfterMs ms if the upstream that refused runs $running and keeps $waiting waiting, guarding against answers that a needless pause makes late', ({ running, waiting, retryAfterMs }) => {
  const steering = startSteering([upstreamEntry('u')])
  const [dispatch] = steering.handle(arrival('r', '/read/1'))
  if (dispatch?.type !== 'dispatch') throw new Error('not dispatched')
  const commands = steering.handle({ type: 'attempt-refused', attemptId: dispatch.attemptId, cause: 'shed', load: { running, waiting, slots: 9, slowdown: 1 } })
  expect(commands).toContainEqual(expect.objectContaining({ type: 'respond', status: 503, retryAfterMs }))
})
