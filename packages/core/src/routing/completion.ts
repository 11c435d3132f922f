/**
 * Ends requests. Each request ends here exactly once: its open attempts are cancelled, its row is removed, its
 * decision is recorded, its idempotency key is settled and its caller gets its one answer.
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

/** The outcome of a request, and the command that answers its caller. */
export interface Completion {
  readonly outcome: Outcome
  readonly reason: Reason
  /** Absent when the answer was already relayed or the caller closed its exchange. */
  readonly answer?: Command
  /** The answer to record for the idempotency key. */
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
  for (const command of context.dependencies.keyStore.settle(
    request.key, request.id, outcome, reason, recorded, step.now)) {
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

/** Cancels the open attempts of a request, except `keptAttemptId`. */
export function cancelOpenAttempts (
  context: RoutingContext, progress: RequestProgress, step: Step, keptAttemptId?: string
): void {
  for (const attemptId of progress.openAttemptIds) {
    const attempt = context.world.attempts.get(attemptId)
    if (attempt === undefined || attemptId === keptAttemptId) continue
    step.commands.push({ type: 'cancel-attempt', attemptId })
    context.attempts.end(attempt, progress, 'cancelled', step.now)
  }
}

/** Ends a request. Does nothing if it has already ended. */
export function completeRequest (context: RoutingContext, request: Request, completion: Completion, step: Step): void {
  const progress = context.progress.get(request.id)
  if (progress === undefined) return
  cancelOpenAttempts(context, progress, step)
  removeRequest(context, request)
  if (request.state === 'waiting-for-key') context.dependencies.keyStore.abandon(request.id)
  recordDecision(context, request, progress, completion.outcome, completion.reason)
  if (completion.answer !== undefined && !progress.callerDisconnected) step.commands.push(completion.answer)
  if (progress.holdsKey) settleKey(context, request, completion, step)
}

/** The outcome of a request that ends without an answer from an upstream: `not-run` only if that is certain. */
export function outcomeWithoutAnswer (context: RoutingContext, request: Request, progress: RequestProgress): Outcome {
  if (request.state === 'waiting-for-key') return 'unknown'
  // For a protected request, an attempt in state `created` counts too: its `attempt-written` event may be on its way,
  // and after a false `not-run` the caller would run the request a second time.
  const openMayHaveRun = progress.openAttemptIds.some(id =>
    request.kind === 'protected' || context.world.attempts.get(id)?.state !== 'created')
  return mayHaveRun(progress, openMayHaveRun) ? 'unknown' : 'not-run'
}

/** Ends a request with an answer made by this instance. The outcome follows from the attempts of the request. */
export function completeWithError (context: RoutingContext, request: Request, reason: Reason, step: Step): void {
  const progress = context.progress.get(request.id)
  if (progress === undefined) return
  const outcome = outcomeWithoutAnswer(context, request, progress)
  completeRequest(context, request, { outcome, reason, answer: createRespond(request.id, outcome, reason) }, step)
}
