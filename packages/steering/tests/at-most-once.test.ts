import type { Dispatch, SteeringCommand, SteeringEvent } from '../src/index.js'
import fc from 'fast-check'
import { expect, it, vi } from 'vitest'
import { IS_IDEMPOTENT, createSteering } from '../src/index.js'
import { BUY, DEPLOYMENT, OPTIONS, READ, arrival, upstreamEntries } from './fixtures.js'

const PROMISES_NOT_RUN: ReadonlySet<number> = new Set([408, 421, 429, 503])

/** What may happen to an attempt or request next. */
const step = fc.oneof(
  fc.record({ type: fc.constant('refused' as const), cause: fc.constantFrom('shed' as const, 'misdirected' as const, 'unreachable' as const) }),
  fc.record({ type: fc.constant('broken' as const), cause: fc.constantFrom('reset' as const, 'crossed' as const, 'garbled' as const) }),
  fc.record({ type: fc.constant('answered' as const), status: fc.constantFrom(200, 404, 500, 504) }),
  fc.record({ type: fc.constant('cancelled' as const) }),
  fc.record({ type: fc.constant('time' as const), ms: fc.integer({ min: 1, max: 900 }) })
)

function eventOf (action: { readonly type: string }, attemptId: string): SteeringEvent {
  const chosen = action as { readonly type: string, readonly cause: never, readonly status: number }
  const events: Readonly<Record<string, SteeringEvent>> = {
    refused: { type: 'attempt-refused', attemptId, cause: chosen.cause },
    broken: { type: 'attempt-broken', attemptId, cause: chosen.cause },
    answered: { type: 'attempt-answered', attemptId, status: chosen.status },
    cancelled: { type: 'request-cancelled', requestId: 'r1' },
    time: { type: 'tick' }
  }
  return events[chosen.type]
}

it('a request that must not run twice is sent again only when it provably did not run, and no promise is broken', () => {
  fc.assert(fc.property(fc.constantFrom(READ, BUY), fc.array(step, { maxLength: 12 }), (route, steps) => {
    const steering = createSteering(OPTIONS)
    steering.handle({ type: 'deployment-received', deployment: DEPLOYMENT })
    steering.handle({ type: 'upstreams-listed', entries: upstreamEntries(5), afterOutage: false })
    const open = new Map<string, Dispatch>()
    const mayHaveRun = new Set<string>()
    let finals = 0

    function take (commands: readonly SteeringCommand[]): void {
      for (const command of commands) {
        if (command.type === 'dispatch') {
          if (!IS_IDEMPOTENT[route.kind]) expect(open.size + mayHaveRun.size).toBe(0)
          open.set(command.attemptId, command)
        }
        if (command.type === 'cancel' && open.delete(command.attemptId)) mayHaveRun.add(command.attemptId)
        if (command.type === 'relay') finals += 1
        if (command.type === 'respond') {
          finals += 1
          if (PROMISES_NOT_RUN.has(command.status)) expect(open.size + mayHaveRun.size).toBe(0)
          if (command.retryAfterMs !== undefined) expect(PROMISES_NOT_RUN.has(command.status)).toBe(true)
        }
      }
    }

    take(steering.handle(arrival('r1', `${route.prefix}x`)))
    for (const action of steps) {
      if (action.type === 'time') vi.advanceTimersByTime(action.ms)
      const [attemptId] = open.keys()
      if (attemptId === undefined && action.type !== 'time' && action.type !== 'cancelled') continue
      if (action.type === 'refused' || action.type === 'broken' || action.type === 'answered') {
        open.delete(attemptId)
        if (action.type !== 'refused') mayHaveRun.add(attemptId)
      }
      take(steering.handle(eventOf(action, attemptId ?? '')))
    }
    vi.advanceTimersByTime(5_000)
    take(steering.handle({ type: 'tick' }))
    expect(finals + Number(steps.some(({ type }) => type === 'cancelled'))).toBeGreaterThanOrEqual(1)
    expect(finals).toBeLessThanOrEqual(1)
    expect(steering.pending()).toBe(0)
  }))
})

it('a request without an answer ends at its route\'s timeout, not at the longer deadline of its caller', () => {
  const steering = createSteering(OPTIONS)
  steering.handle({ type: 'deployment-received', deployment: DEPLOYMENT })
  steering.handle({ type: 'upstreams-listed', entries: upstreamEntries(1), afterOutage: false })
  expect(steering.handle(arrival('r1', '/buy/x', '7', 4_000))).toMatchObject([{ type: 'dispatch', timeoutMs: BUY.timeoutMs }])
  vi.advanceTimersByTime(BUY.timeoutMs)
  expect(steering.handle({ type: 'tick' })).toMatchObject([{ type: 'respond', status: 504 }, { type: 'cancel' }])
})
