/**
 * Ends requests whose deadline has passed and requests whose caller has gone.
 */
import type { RequestCancelled } from '../event.js'
import type { RoutingContext, Step } from './routing-context.js'
import { complete, honestOutcome, refuse } from './completion.js'

/** Deadlines of ended requests that may stay in the heap beside those of live ones. */
const STALE_DEADLINES = 1_000

/**
 * Ends the requests whose deadline has passed; returns whether there were any. An answer that already flows to the
 * caller is not cut off by its deadline: the caller would lose a response that it is about to have.
 */
export function expireDue (context: RoutingContext, step: Step): boolean {
  const { deadlines, world } = context
  let expired = false
  for (let id = deadlines.takeDue(step.now); id !== undefined; id = deadlines.takeDue(step.now)) {
    const request = world.requests.get(id)
    if (request === undefined || request.state === 'answering') continue
    refuse(context, request, 'deadline-passed', step)
    expired = true
  }
  if (deadlines.size > 2 * world.requests.size + STALE_DEADLINES) deadlines.compact(id => world.requests.has(id))
  return expired
}

/**
 * The caller closed its exchange. A request that holds a key and may have run continues, because a caller that lost
 * its connection repeats the request with the same key and needs the outcome.
 */
export function cancelRequest (context: RoutingContext, event: RequestCancelled, step: Step): string | undefined {
  const request = context.world.requests.get(event.requestId)
  const progress = context.progress.get(event.requestId)
  if (request === undefined || progress === undefined) return undefined
  const outcome = honestOutcome(context, request, progress)
  if (progress.holdsKey && outcome === 'unknown') progress.callerGone = true
  else complete(context, request, { outcome, reason: 'client-cancelled' }, step)
  return request.service
}
