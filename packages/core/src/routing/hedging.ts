/**
 * Hedging: sends a repeatable short request to a second upstream when the first one takes unusually long.
 */
import type { Request } from '../tables.js'
import type { RoutingContext, Step } from './routing-context.js'
import { dispatch } from './placement.js'

function queueLength (context: RoutingContext, service: string): number {
  return context.queues.size(service, 'short') + context.queues.size(service, 'long')
}

/** Starts a second attempt if the request has one unanswered attempt, a slot is free and the hedge budget allows it. */
function startHedge (context: RoutingContext, request: Request, step: Step): void {
  const progress = context.progress.get(request.id)
  if (progress === undefined || progress.openAttemptIds.length !== 1 || request.state !== 'running') return
  if (progress.singleUseBody) return
  const attempt = context.world.attempts.get(progress.openAttemptIds[0]!)
  if (attempt === undefined || attempt.hedge || attempt.target.type !== 'upstream') return
  // Queued requests have priority over second attempts.
  if (queueLength(context, request.service) > 0) return
  const { slotLimits, upstreamSelector, hedgePolicy } = context.dependencies
  const { zone } = context.world.self
  const total = slotLimits.total(request.service, zone, step.now)
  if (total === 0) return
  const exclude = new Set([...progress.excludedTargetIds, attempt.target.id])
  const upstreamId = upstreamSelector.select(request.service, zone, request.length, exclude, step.now)
  if (upstreamId === undefined) return
  const headroomShare = slotLimits.free(request.service, zone, step.now) / total
  if (!hedgePolicy.tryAcquire(request.service, headroomShare, step.now)) return
  dispatch(context, request, progress, upstreamId, true, step)
}

/** Starts the hedges whose delay has passed. */
export function startDueHedges (context: RoutingContext, step: Step): void {
  for (let id = context.hedgeTimers.popDue(step.now); id !== undefined; id = context.hedgeTimers.popDue(step.now)) {
    const request = context.world.requests.get(id)
    if (request !== undefined) startHedge(context, request, step)
  }
}
