/**
 * Ends requests whose deadline has passed and requests whose caller has gone.
 */
import type { RequestCancelled } from '../event.js'
import type { RoutingContext, Step } from './routing-context.js'
import { completeRequest, outcomeWithoutAnswer, completeWithError } from './completion.js'

/** Deadlines of ended requests that may stay in the heap beside those of live ones. */
const MAX_STALE_DEADLINES = 1_000

/**
 * Ends the requests whose deadline has passed; returns whether there were any. An answer that already flows to the
 * caller is not cut off by its deadline: the caller would lose a response that it is about to have.
 */
export function expireRequests (context: RoutingContext, step: Step): boolean {
  const { deadlines, world } = context
  let expired = false
  for (let id = deadlines.popDue(step.now); id !== undefined; id = deadlines.popDue(step.now)) {
    const request = world.requests.get(id)
    if (request === undefined || request.state === 'answering') continue
    completeWithError(context, request, 'deadline-passed', step)
    expired = true
  }
  if (deadlines.size > 2 * world.requests.size + MAX_STALE_DEADLINES) deadlines.compact(id => world.requests.has(id))
  return expired
}

/**
 * The caller closed its exchange. A request that holds a key and may have run continues, because a caller that lost
 * its connection repeats the request with the same key and needs the outcome.
 */
export function handleRequestCancelled (context: RoutingContext, event: RequestCancelled, step: Step): string | undefined {
  const request = context.world.requests.get(event.requestId)
  const progress = context.progress.get(event.requestId)
  if (request === undefined || progress === undefined) return undefined
  const outcome = outcomeWithoutAnswer(context, request, progress)
  if (progress.holdsKey && outcome === 'unknown') progress.callerDisconnected = true
  else completeRequest(context, request, { outcome, reason: 'client-cancelled' }, step)
  return request.service
}
