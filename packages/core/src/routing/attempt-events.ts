/**
 * Applies what happened to an attempt, then decides whether its request is answered, retried or ended.
 */
import type { AttemptAnswered, AttemptFailed, AttemptFinished, AttemptRefused, AttemptWritten } from '../event.js'
import type { Headroom } from '../heartbeat.js'
import type { Reason } from '../reason.js'
import type { Attempt, Request } from '../tables.js'
import type { Progress } from './progress.js'
import type { RoutingContext, Step } from './routing-context.js'
import { cancelOpen, complete, refuse } from './completion.js'
import { place } from './placement.js'
import { distance, sameRegion, setState } from './routing-context.js'

/** Dispatches of one request, including hedges. Bounds the work that refusals by all upstreams can cause. */
export const MAX_DISPATCHES = 4

interface Found {
  readonly attempt: Attempt
  readonly request: Request
  readonly progress: Progress
}

function find (context: RoutingContext, attemptId: string): Found | undefined {
  const attempt = context.world.attempts.get(attemptId)
  if (attempt === undefined) return undefined
  const request = context.world.requests.get(attempt.requestId)
  const progress = context.progress.get(attempt.requestId)
  return request === undefined || progress === undefined ? undefined : { attempt, request, progress }
}

function servedReason (context: RoutingContext, { attempt, request }: Found): Reason {
  if (attempt.hedge) return 'hedged'
  if (attempt.zone === request.originZone) return 'home-zone'
  return sameRegion(context, attempt.zone, request.originZone) ? 'moved-zone' : 'moved-region'
}

/** Sends the request again, or ends it with `reason` when it had its attempts. */
function retry (context: RoutingContext, found: Found, reason: Reason, charged: boolean, step: Step): void {
  const { request, progress } = found
  if (step.now >= request.deadlineAt) return refuse(context, request, 'deadline-passed', step)
  if (progress.callerGone || progress.dispatches >= MAX_DISPATCHES) return refuse(context, request, reason, step)
  if (charged && !context.parts.retries.take(request.service, step.now)) {
    return refuse(context, request, 'retry-budget', step)
  }
  place(context, request, progress, step)
}

function observeTrip (context: RoutingContext, { attempt, request }: Found, serviceMs: number, now: number): void {
  if (attempt.target.type !== 'instance' || request.length !== 'short') return
  context.trips.observe(attempt.zone, now - attempt.startedAt - serviceMs, distance(context, attempt.zone))
}

function recordStated (
  context: RoutingContext, { attempt, request }: Found, headroom: Headroom | undefined, now: number
): void {
  if (headroom === undefined || attempt.target.type !== 'instance' || headroom.service !== request.service) return
  context.peerLoad.recordStated(attempt.target.id, headroom, now)
}

/** The first byte was handed to the socket. */
export function attemptWritten (context: RoutingContext, event: AttemptWritten): void {
  const attempt = context.world.attempts.get(event.attemptId)
  if (attempt?.state === 'created') context.attempts.advance(event.attemptId, 'written')
}

/** The attempt provably did not run. Returns the service whose slots changed. */
export function attemptRefused (context: RoutingContext, event: AttemptRefused, step: Step): string | undefined {
  const found = find(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, progress } = found
  if (attempt.state === 'answered') {
    // The answer is already passed on; a second attempt would give the caller two.
    return attemptFailed(context, { type: 'attempt-failed', attemptId: attempt.id, truncated: true }, step)
  }
  const shed = event.proof === 'shed'
  context.attempts.end(attempt, progress, shed ? 'refused' : 'unreachable', step.now)
  const request = { ...found.request, refusals: found.request.refusals + 1 }
  context.world.requests.set(request.id, request)
  recordStated(context, found, event.headroom, step.now)
  if (attempt.target.type === 'instance' && progress.keyHome === undefined) {
    context.peerLoad.recordRefusal(attempt.target.id, request.service, request.length, step.now)
  }
  if (shed) observeTrip(context, found, 0, step.now)
  if (progress.open.length > 0) return request.service
  if (progress.keyHome !== undefined) {
    progress.refusedByHome = shed
    refuse(context, request, shed ? event.reason ?? 'upstream-refused' : 'key-home-unreachable', step)
    return request.service
  }
  if (event.bodyConsumed === true) {
    refuse(context, request, event.reason ?? 'upstream-refused', step)
    return request.service
  }
  // A drain is planned, so it must not use up the budget; a refused forward is charged only if it is repeated.
  const charged = attempt.target.type === 'upstream' && event.leaving !== true
  retry(context, { ...found, request }, 'upstream-refused', charged, step)
  return request.service
}

/** Status and headers arrived: passes on the first answer of the request and cancels its other attempts. */
export function attemptAnswered (context: RoutingContext, event: AttemptAnswered, step: Step): string | undefined {
  const found = find(context, event.attemptId)
  if (found === undefined || found.progress.answeredBy !== undefined) return undefined
  const { attempt, request, progress } = found
  progress.answeredBy = attempt.id
  context.attempts.advance(attempt.id, 'answered')
  const freesSlots = progress.open.length > 1
  cancelOpen(context, progress, step, attempt.id)
  setState(context, request, 'answering')
  recordStated(context, found, event.headroom, step.now)
  const serviceMs = context.parts.upstreams.expectedServiceMs(request.service, request.length)
  if (attempt.target.type === 'instance') observeTrip(context, found, serviceMs, step.now)
  else if (request.length === 'short') {
    context.parts.hedges.recordLatency(request.service, step.now - attempt.startedAt, step.now)
  }
  step.commands.push({
    type: 'relay', requestId: request.id, attemptId: attempt.id, reason: servedReason(context, found)
  })
  // The queue is only served if the cancelled attempts freed slots.
  return freesSlots ? request.service : undefined
}

/** The whole answer was read. */
export function attemptFinished (context: RoutingContext, event: AttemptFinished, step: Step): string | undefined {
  const found = find(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, request, progress } = found
  if (progress.answeredBy !== attempt.id) {
    // The answer was never passed on, so the caller can't have it.
    return attemptFailed(context, { type: 'attempt-failed', attemptId: attempt.id, truncated: false }, step)
  }
  context.attempts.end(attempt, progress, 'finished', step.now)
  const ending = { outcome: 'served', reason: servedReason(context, found) } as const
  const recorded = event.recorded === undefined ? {} : { recorded: event.recorded }
  complete(context, request, { ...ending, ...recorded }, step)
  return request.service
}

/** The attempt ended with an unknown outcome. */
export function attemptFailed (context: RoutingContext, event: AttemptFailed, step: Step): string | undefined {
  const found = find(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, request, progress } = found
  context.attempts.end(attempt, progress, 'failed', step.now)
  const reason = event.reason ?? (event.truncated ? 'upstream-truncated' : 'upstream-failed')
  if (progress.answeredBy === attempt.id) {
    const answer = { type: 'reset', requestId: request.id, reason } as const
    complete(context, request, { outcome: 'unknown', reason, answer }, step)
  } else if (progress.open.length > 0) {
    return request.service
  } else if (request.kind === 'repeatable' && !progress.singleUseBody) {
    retry(context, found, reason, true, step)
  } else {
    refuse(context, request, progress.keyHome === undefined ? reason : event.reason ?? 'key-home-unreachable', step)
  }
  return request.service
}
