/**
 * Plays a repeatable sequence of arrivals and answers, including a queue, a refusal, a slow upstream and callers of another
 * region's objects, and records the decisions of the engine.
 */
import type { Dispatch, Route, SteeringCommand } from '../src/index.js'
import { hash32 } from '@arbutustray/core'
import { vi } from 'vitest'
import { DEPLOYMENT, READ, startSteering, upstreamEntries } from './fixtures.js'

const ARRIVALS = 2_400
const STEP_MS = 4
const OBJECTS = 200
const SLOTS = 3
/** Arrivals between which an upstream is slow, and those between which all work takes longer, so that queues form. */
const SLOW_UPSTREAM = { id: 'u3', from: 600, to: 1_000 } as const
const SLOW_WORK = { from: 1_200, to: 1_700, factor: 3 } as const
const LINE_LENGTH = 25

/** One decision as text: the upstream and the expected time, or the reason of the refusal. */
function describe (command: SteeringCommand | undefined): string {
  if (command?.type === 'dispatch') return `${command.upstreamId}/${Math.round(command.basis.expectedMs)}`
  return command?.type === 'respond' ? command.reason : 'none'
}

/** Decisions of the engine, a line for each group of arrivals. */
export function recordDecisions (): readonly string[] {
  const route: Route = { ...READ, kind: 'non-idempotent', timeoutMs: 2_000 }
  const steering = startSteering(upstreamEntries(16, { slots: SLOTS }), {}, { ...DEPLOYMENT, routes: [route] })
  const due = new Map<number, Dispatch[]>()
  const running = new Map<string, number>()
  const decisions: string[] = []
  for (let step = 0; step < ARRIVALS; step += 1) {
    vi.advanceTimersByTime(STEP_MS)
    for (const { attemptId, upstreamId } of due.get(step) ?? []) {
      const left = (running.get(upstreamId) ?? 1) - 1
      running.set(upstreamId, left)
      const load = { running: Math.min(SLOTS, left), waiting: Math.max(0, left - SLOTS), slots: SLOTS, slowdown: 1 }
      if (hash32(`refused ${attemptId}`) % 50 > 0) steering.handle({ type: 'attempt-answered', attemptId, status: 200, load })
      else decisions.push(describe(steering.handle({ type: 'attempt-refused', attemptId, cause: 'shed', load }).find(({ type }) => type !== 'note')))
    }
    due.delete(step)
    const objectKey = step % 20 === 0 ? undefined : String(hash32(`object ${step}`) % OBJECTS)
    const commands = steering.handle({ type: 'request-arrived', requestId: `r${step}`, host: route.host, path: route.prefix, objectKey, deadlineMs: 2_500, receivedAt: performance.now() })
    const [command] = commands
    decisions.push(describe(command))
    if (command?.type !== 'dispatch') continue
    const count = (running.get(command.upstreamId) ?? 0) + 1
    running.set(command.upstreamId, count)
    const isSlow = command.upstreamId === SLOW_UPSTREAM.id && step >= SLOW_UPSTREAM.from && step < SLOW_UPSTREAM.to
    const workSteps = (20 + hash32(`work ${step}`) % 20) * (isSlow ? 5 : 1) * (step >= SLOW_WORK.from && step < SLOW_WORK.to ? SLOW_WORK.factor : 1) * Math.max(1, count / SLOTS)
    const end = step + Math.ceil(workSteps)
    const ending = due.get(end)
    if (ending === undefined) due.set(end, [command])
    else ending.push(command)
  }
  const lines: string[] = []
  for (let index = 0; index < decisions.length; index += LINE_LENGTH) lines.push(decisions.slice(index, index + LINE_LENGTH).join(' '))
  return lines
}
