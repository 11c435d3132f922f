/**
 * Ends requests whose deadline has passed, and requests whose caller closed its exchange.
 */
import type { RequestCancelled } from '../event.js'
import type { RoutingContext, Step } from './routing-context.js'
import { completeRequest, outcomeWithoutAnswer, completeWithError } from './completion.js'

/** The deadlines of ended requests are removed when the heap holds this many more than twice the open requests. */
const STALE_DEADLINE_ALLOWANCE = 1_000

/**
 * Ends the requests whose deadline has passed, and returns whether there were any. A request whose answer is already
 * being relayed continues, because ending it would discard an answer that the caller is about to have.
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
  if (deadlines.size > 2 * world.requests.size + STALE_DEADLINE_ALLOWANCE) deadlines.compact(id => world.requests.has(id))
  return expired
}

/**
 * Handles that the caller closed its exchange. A request that runs an idempotency key and may have run at an upstream
 * continues, because a caller that lost its connection repeats the request with the same key and needs the outcome.
 */
export function handleRequestCancelled (
  context: RoutingContext, event: RequestCancelled, step: Step
): string | undefined {
  const request = context.world.requests.get(event.requestId)
  const progress = context.progress.get(event.requestId)
  if (request === undefined || progress === undefined) return undefined
  const outcome = outcomeWithoutAnswer(context, request, progress)
  if (progress.holdsKey && outcome === 'unknown') progress.callerDisconnected = true
  else completeRequest(context, request, { outcome, reason: 'client-cancelled' }, step)
  return request.service
}
