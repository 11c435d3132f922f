/**
 * Ends requests. Each request ends here exactly once: its open attempts are cancelled, its row is removed, its
 * decision is recorded, its key is settled and its caller gets the one answer.
 */
import type { Command } from '../command.js'
import type { RecordedAnswer } from '../event.js'
import type { Outcome, Reason } from '../reason.js'
import type { Request } from '../tables.js'
import type { RequestProgress } from './request-progress.js'
import type { RoutingContext, Step } from './routing-context.js'
import { wallNow } from '../clock.js'
import { createRespond } from './create-respond.js'
import { mayHaveRun } from './request-progress.js'

/** How a request ends. */
export interface Completion {
  readonly outcome: Outcome
  readonly reason: Reason
  /** The command that answers the caller; absent when the caller has its answer or has gone. */
  readonly answer?: Command
  /** The answer to record for the request's key. */
  readonly recorded?: RecordedAnswer
}

function removeRequest (context: RoutingContext, request: Request): void {
  context.world.requests.delete(request.id)
  context.progress.delete(request.id)
  if (request.state === 'queued') context.queues.markEnded(request)
}

function recordDecision (
  context: RoutingContext, request: Request, progress: RequestProgress | undefined, outcome: Outcome, reason: Reason
): void {
  context.decisions.record({
    requestId: request.id,
    at: wallNow(),
    service: request.service,
    originZone: request.originZone,
    configurationVersion: context.world.configuration?.version ?? 0,
    outcome,
    reason,
    attempts: progress?.endedAttempts ?? []
  })
}

function settleKey (context: RoutingContext, request: Request, completion: Completion, step: Step): void {
  if (request.key === undefined) return
  const { outcome, reason, recorded } = completion
  for (const command of context.dependencies.keys.settle(request.key, request.id, outcome, reason, recorded, step.now)) {
    step.commands.push(command)
    if (command.type !== 'replay' && command.type !== 'respond') continue
    const waitingRequest = context.world.requests.get(command.requestId)
    if (waitingRequest === undefined) continue
    const progress = context.progress.get(waitingRequest.id)
    removeRequest(context, waitingRequest)
    if (command.type === 'replay') recordDecision(context, waitingRequest, progress, 'served', 'replayed')
    else recordDecision(context, waitingRequest, progress, command.outcome, command.reason)
  }
}

/** Cancels the attempts of a request that are still open, apart from `kept`. */
export function cancelOpenAttempts (context: RoutingContext, progress: RequestProgress, step: Step, keptAttemptId?: string): void {
  for (const attemptId of progress.openAttemptIds) {
    const attempt = context.world.attempts.get(attemptId)
    if (attempt === undefined || attemptId === keptAttemptId) continue
    step.commands.push({ type: 'cancel-attempt', attemptId })
    context.attempts.end(attempt, progress, 'cancelled', step.now)
  }
}

/** Ends a request. */
export function completeRequest (context: RoutingContext, request: Request, completion: Completion, step: Step): void {
  const progress = context.progress.get(request.id)
  if (progress === undefined) return
  cancelOpenAttempts(context, progress, step)
  removeRequest(context, request)
  if (request.state === 'waiting-for-key') context.dependencies.keys.abandon(request.id)
  recordDecision(context, request, progress, completion.outcome, completion.reason)
  if (completion.answer !== undefined && !progress.callerDisconnected) step.commands.push(completion.answer)
  if (progress.holdsKey) settleKey(context, request, completion, step)
}

/** The outcome of a request that ends without an answer from an upstream. */
export function outcomeWithoutAnswer (context: RoutingContext, request: Request, progress: RequestProgress): Outcome {
  if (request.state === 'waiting-for-key') return 'unknown'
  // For a protected request also an attempt in the state created: the report of its first write may be under way, and
  // a false not-run would let the caller run it twice.
  const openMayHaveRun = progress.openAttemptIds.some(id =>
    request.kind === 'protected' || context.world.attempts.get(id)?.state !== 'created')
  return mayHaveRun(progress, openMayHaveRun) ? 'unknown' : 'not-run'
}

/** Ends a request with the system's own answer; the outcome follows from its attempts. */
export function completeWithError (context: RoutingContext, request: Request, reason: Reason, step: Step): void {
  const progress = context.progress.get(request.id)
  if (progress === undefined) return
  const outcome = outcomeWithoutAnswer(context, request, progress)
  completeRequest(context, request, { outcome, reason, answer: createRespond(request.id, outcome, reason) }, step)
}
