/**
 * Ends requests. Each request ends here exactly once: its open attempts are cancelled, its row is removed, its
 * decision is recorded, its key is settled and its caller gets the one answer.
 */
import type { Command } from '../command.js'
import type { RecordedAnswer } from '../event.js'
import type { Outcome, Reason } from '../reason.js'
import type { Request } from '../tables.js'
import type { Progress } from './progress.js'
import type { RoutingContext, Step } from './routing-context.js'
import { wallNow } from '../clock.js'
import { respond } from './answer-status.js'
import { mayHaveRun } from './progress.js'

/** How a request ends. */
export interface Ending {
  readonly outcome: Outcome
  readonly reason: Reason
  /** The command that answers the caller; absent when the caller has its answer or has gone. */
  readonly answer?: Command
  /** The answer to record for the request's key. */
  readonly recorded?: RecordedAnswer
}

function remove (context: RoutingContext, request: Request): void {
  context.world.requests.delete(request.id)
  context.progress.delete(request.id)
  if (request.state === 'queued') context.queues.markEnded(request)
}

function recordDecision (
  context: RoutingContext, request: Request, progress: Progress | undefined, outcome: Outcome, reason: Reason
): void {
  context.decisions.record({
    requestId: request.id,
    at: wallNow(),
    service: request.service,
    originZone: request.originZone,
    configurationVersion: context.world.configuration?.version ?? 0,
    outcome,
    reason,
    attempts: progress?.ended ?? []
  })
}

function settleKey (context: RoutingContext, request: Request, ending: Ending, step: Step): void {
  if (request.key === undefined) return
  const { outcome, reason, recorded } = ending
  for (const command of context.parts.keys.settle(request.key, request.id, outcome, reason, recorded, step.now)) {
    step.commands.push(command)
    if (command.type !== 'replay' && command.type !== 'respond') continue
    const waiting = context.world.requests.get(command.requestId)
    if (waiting === undefined) continue
    const progress = context.progress.get(waiting.id)
    remove(context, waiting)
    if (command.type === 'replay') recordDecision(context, waiting, progress, 'served', 'replayed')
    else recordDecision(context, waiting, progress, command.outcome, command.reason)
  }
}

/** Cancels the attempts of a request that are still open, apart from `kept`. */
export function cancelOpen (context: RoutingContext, progress: Progress, step: Step, kept?: string): void {
  for (const attemptId of progress.open) {
    const attempt = context.world.attempts.get(attemptId)
    if (attempt === undefined || attemptId === kept) continue
    step.commands.push({ type: 'cancel-attempt', attemptId })
    context.attempts.end(attempt, progress, 'cancelled', step.now)
  }
}

/** Ends a request. */
export function complete (context: RoutingContext, request: Request, ending: Ending, step: Step): void {
  const progress = context.progress.get(request.id)
  if (progress === undefined) return
  cancelOpen(context, progress, step)
  remove(context, request)
  if (request.state === 'waiting-for-key') context.parts.keys.abandon(request.id)
  recordDecision(context, request, progress, ending.outcome, ending.reason)
  if (ending.answer !== undefined && !progress.callerGone) step.commands.push(ending.answer)
  if (progress.holdsKey) settleKey(context, request, ending, step)
}

/** The outcome of a request that ends without an answer from an upstream. */
export function honestOutcome (context: RoutingContext, request: Request, progress: Progress): Outcome {
  if (request.state === 'waiting-for-key') return 'unknown'
  // For a protected request also an attempt in the state created: the report of its first write may be under way, and
  // a false not-run would let the caller run it twice.
  const openWritten = progress.open.some(id =>
    request.kind === 'protected' || context.world.attempts.get(id)?.state !== 'created')
  return mayHaveRun(progress, openWritten) ? 'unknown' : 'not-run'
}

/** Ends a request with the system's own answer; the outcome follows from its attempts. */
export function refuse (context: RoutingContext, request: Request, reason: Reason, step: Step): void {
  const progress = context.progress.get(request.id)
  if (progress === undefined) return
  const outcome = honestOutcome(context, request, progress)
  complete(context, request, { outcome, reason, answer: respond(request.id, outcome, reason) }, step)
}
