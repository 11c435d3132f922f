/**
 * Applies what happened to an attempt, then decides whether its request is answered, retried or ended.
 */
import type { AttemptAnswered, AttemptFailed, AttemptFinished, AttemptRefused, AttemptWritten } from '../event.js'
import type { Headroom } from '../heartbeat.js'
import type { Reason } from '../reason.js'
import type { Attempt, Request } from '../tables.js'
import type { RequestProgress } from './request-progress.js'
import type { RoutingContext, Step } from './routing-context.js'
import { cancelOpenAttempts, completeRequest, completeWithError } from './completion.js'
import { placeRequest } from './placement.js'
import { zoneDistance, isSameRegion, setRequestState } from './routing-context.js'

/** Dispatches of one request, including hedges. Bounds the work that refusals by all upstreams can cause. */
export const MAX_DISPATCHES_PER_REQUEST = 4

interface OpenAttempt {
  readonly attempt: Attempt
  readonly request: Request
  readonly progress: RequestProgress
}

function findOpenAttempt (context: RoutingContext, attemptId: string): OpenAttempt | undefined {
  const attempt = context.world.attempts.get(attemptId)
  if (attempt === undefined) return undefined
  const request = context.world.requests.get(attempt.requestId)
  const progress = context.progress.get(attempt.requestId)
  return request === undefined || progress === undefined ? undefined : { attempt, request, progress }
}

function servedReason (context: RoutingContext, { attempt, request }: OpenAttempt): Reason {
  if (attempt.hedge) return 'hedged'
  if (attempt.zone === request.originZone) return 'home-zone'
  return isSameRegion(context, attempt.zone, request.originZone) ? 'moved-zone' : 'moved-region'
}

/** Sends the request again, or ends it with `reason` when it had its attempts. */
function retry (context: RoutingContext, found: OpenAttempt, reason: Reason, chargesBudget: boolean, step: Step): void {
  const { request, progress } = found
  if (step.now >= request.deadlineAt) return completeWithError(context, request, 'deadline-passed', step)
  if (progress.callerDisconnected || progress.dispatches >= MAX_DISPATCHES_PER_REQUEST) return completeWithError(context, request, reason, step)
  if (chargesBudget && !context.dependencies.retryBudget.take(request.service, step.now)) {
    return completeWithError(context, request, 'retry-budget', step)
  }
  placeRequest(context, request, progress, step)
}

function observeRoundTrip (context: RoutingContext, { attempt, request }: OpenAttempt, serviceMs: number, now: number): void {
  if (attempt.target.type !== 'instance' || request.length !== 'short') return
  context.roundTrips.observe(attempt.zone, now - attempt.startedAt - serviceMs, zoneDistance(context, attempt.zone))
}

function recordPeerHeadroom (
  context: RoutingContext, { attempt, request }: OpenAttempt, headroom: Headroom | undefined, now: number
): void {
  if (headroom === undefined || attempt.target.type !== 'instance' || headroom.service !== request.service) return
  context.peerLoad.recordAnswerHeadroom(attempt.target.id, headroom, now)
}

/** The first byte was handed to the socket. */
export function handleAttemptWritten (context: RoutingContext, event: AttemptWritten): void {
  const attempt = context.world.attempts.get(event.attemptId)
  if (attempt?.state === 'created') context.attempts.setState(event.attemptId, 'written')
}

/** The attempt provably did not run. Returns the service whose slots changed. */
export function handleAttemptRefused (context: RoutingContext, event: AttemptRefused, step: Step): string | undefined {
  const found = findOpenAttempt(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, progress } = found
  if (attempt.state === 'answered') {
    // The answer is already passed on; a second attempt would give the caller two.
    return handleAttemptFailed(context, { type: 'attempt-failed', attemptId: attempt.id, truncated: true }, step)
  }
  const shed = event.proof === 'shed'
  context.attempts.end(attempt, progress, shed ? 'refused' : 'unreachable', step.now)
  const request = { ...found.request, refusals: found.request.refusals + 1 }
  context.world.requests.set(request.id, request)
  recordPeerHeadroom(context, found, event.headroom, step.now)
  if (attempt.target.type === 'instance' && progress.keyHome === undefined) {
    context.peerLoad.recordRefusal(attempt.target.id, request.service, request.length, step.now)
  }
  if (shed) observeRoundTrip(context, found, 0, step.now)
  if (progress.openAttemptIds.length > 0) return request.service
  if (progress.keyHome !== undefined) {
    progress.refusedByKeyHome = shed
    completeWithError(context, request, shed ? event.reason ?? 'upstream-refused' : 'key-home-unreachable', step)
    return request.service
  }
  if (event.bodyConsumed === true) {
    completeWithError(context, request, event.reason ?? 'upstream-refused', step)
    return request.service
  }
  // A drain is planned, so it must not use up the budget; a refused forward is charged only if it is repeated.
  const chargesBudget = attempt.target.type === 'upstream' && event.leaving !== true
  retry(context, { ...found, request }, 'upstream-refused', chargesBudget, step)
  return request.service
}

/** Status and headers arrived: passes on the first answer of the request and cancels its other attempts. */
export function handleAttemptAnswered (context: RoutingContext, event: AttemptAnswered, step: Step): string | undefined {
  const found = findOpenAttempt(context, event.attemptId)
  if (found === undefined || found.progress.relayedAttemptId !== undefined) return undefined
  const { attempt, request, progress } = found
  progress.relayedAttemptId = attempt.id
  context.attempts.setState(attempt.id, 'answered')
  const freesSlots = progress.openAttemptIds.length > 1
  cancelOpenAttempts(context, progress, step, attempt.id)
  setRequestState(context, request, 'answering')
  recordPeerHeadroom(context, found, event.headroom, step.now)
  const serviceMs = context.dependencies.upstreamSelector.expectedServiceMs(request.service, request.length)
  if (attempt.target.type === 'instance') observeRoundTrip(context, found, serviceMs, step.now)
  else if (request.length === 'short') {
    context.dependencies.hedgePolicy.recordLatency(request.service, step.now - attempt.startedAt, step.now)
  }
  step.commands.push({
    type: 'relay', requestId: request.id, attemptId: attempt.id, reason: servedReason(context, found)
  })
  // The queue is only served if the cancelled attempts freed slots.
  return freesSlots ? request.service : undefined
}

/** The whole answer was read. */
export function handleAttemptFinished (context: RoutingContext, event: AttemptFinished, step: Step): string | undefined {
  const found = findOpenAttempt(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, request, progress } = found
  if (progress.relayedAttemptId !== attempt.id) {
    // The answer was never passed on, so the caller can't have it.
    return handleAttemptFailed(context, { type: 'attempt-failed', attemptId: attempt.id, truncated: false }, step)
  }
  context.attempts.end(attempt, progress, 'finished', step.now)
  const completion = { outcome: 'served', reason: servedReason(context, found) } as const
  const recorded = event.recorded === undefined ? {} : { recorded: event.recorded }
  completeRequest(context, request, { ...completion, ...recorded }, step)
  return request.service
}

/** The attempt ended with an unknown outcome. */
export function handleAttemptFailed (context: RoutingContext, event: AttemptFailed, step: Step): string | undefined {
  const found = findOpenAttempt(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, request, progress } = found
  context.attempts.end(attempt, progress, 'failed', step.now)
  const reason = event.reason ?? (event.truncated ? 'upstream-truncated' : 'upstream-failed')
  if (progress.relayedAttemptId === attempt.id) {
    const answer = { type: 'reset', requestId: request.id, reason } as const
    completeRequest(context, request, { outcome: 'unknown', reason, answer }, step)
  } else if (progress.openAttemptIds.length > 0) {
    return request.service
  } else if (request.kind === 'repeatable' && !progress.singleUseBody) {
    retry(context, found, reason, true, step)
  } else {
    completeWithError(context, request, progress.keyHome === undefined ? reason : event.reason ?? 'key-home-unreachable', step)
  }
  return request.service
}
