/**
 * Handles the events of attempts: updates the attempt, then decides whether its request is answered, retried or ended.
 * The handlers return the service whose slots may have become free.
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

/** Includes hedges. Bounds the load that one request causes when all upstreams refuse it. */
export const MAX_DISPATCHES_PER_REQUEST = 4

/** An attempt that has not ended, with its request. */
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

/** Places the request again, or ends it with `reason` when it has no dispatches left or its caller is gone. */
function retry (context: RoutingContext, found: OpenAttempt, reason: Reason, chargesBudget: boolean, step: Step): void {
  const { request, progress } = found
  if (step.now >= request.deadlineAt) return completeWithError(context, request, 'deadline-passed', step)
  if (progress.callerDisconnected || progress.dispatches >= MAX_DISPATCHES_PER_REQUEST) return completeWithError(context, request, reason, step)
  if (chargesBudget && !context.dependencies.retryBudget.tryAcquire(request.service, step.now)) {
    return completeWithError(context, request, 'retry-budget', step)
  }
  placeRequest(context, request, progress, step)
}

function observeRoundTrip (
  context: RoutingContext, { attempt, request }: OpenAttempt, serviceMs: number, now: number
): void {
  if (attempt.target.type !== 'instance' || request.length !== 'short') return
  context.roundTrips.observe(attempt.zone, now - attempt.startedAt - serviceMs, zoneDistance(context, attempt.zone))
}

function recordPeerHeadroom (
  context: RoutingContext, { attempt, request }: OpenAttempt, headroom: Headroom | undefined, now: number
): void {
  if (headroom === undefined || attempt.target.type !== 'instance' || headroom.service !== request.service) return
  context.peerLoad.recordAnswerHeadroom(attempt.target.id, headroom, now)
}

/** Handles an attempt whose first byte was handed to the socket. */
export function handleAttemptWritten (context: RoutingContext, event: AttemptWritten): void {
  const attempt = context.world.attempts.get(event.attemptId)
  if (attempt?.state === 'created') context.attempts.setState(event.attemptId, 'written')
}

/** Handles an attempt that provably did not run: places the request again if it may be retried. */
export function handleAttemptRefused (context: RoutingContext, event: AttemptRefused, step: Step): string | undefined {
  const found = findOpenAttempt(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, progress } = found
  if (attempt.state === 'answered') {
    // Its answer is already relayed, and a further attempt would give the caller a second one.
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
  // An upstream that is leaving refuses by plan, which must not use up the retry budget. For a refused forward the
  // budget is charged when the request is forwarded a second time.
  const chargesBudget = attempt.target.type === 'upstream' && event.leaving !== true
  retry(context, { ...found, request }, 'upstream-refused', chargesBudget, step)
  return request.service
}

/** Handles an attempt whose status and headers were read: relays the first answer and cancels the other attempts. */
export function handleAttemptAnswered (
  context: RoutingContext, event: AttemptAnswered, step: Step
): string | undefined {
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
  // Without a cancelled attempt no slot became free.
  return freesSlots ? request.service : undefined
}

/** Handles an attempt whose answer was read whole: ends the request as served. */
export function handleAttemptFinished (
  context: RoutingContext, event: AttemptFinished, step: Step
): string | undefined {
  const found = findOpenAttempt(context, event.attemptId)
  if (found === undefined) return undefined
  const { attempt, request, progress } = found
  if (progress.relayedAttemptId !== attempt.id) {
    // The answer was not relayed, so the caller does not have it.
    return handleAttemptFailed(context, { type: 'attempt-failed', attemptId: attempt.id, truncated: false }, step)
  }
  context.attempts.end(attempt, progress, 'finished', step.now)
  const completion = { outcome: 'served', reason: servedReason(context, found) } as const
  const recorded = event.recorded === undefined ? {} : { recorded: event.recorded }
  completeRequest(context, request, { ...completion, ...recorded }, step)
  return request.service
}

/**
 * Handles an attempt that ended with an unknown outcome: resets the caller's exchange if the answer was being relayed,
 * else retries a repeatable request and ends any other.
 */
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
    completeWithError(
      context, request, progress.keyHome === undefined ? reason : event.reason ?? 'key-home-unreachable', step)
  }
  return request.service
}
