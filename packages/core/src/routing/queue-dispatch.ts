/**
 * Dispatches queued requests to upstreams of this instance's zone when slots become free.
 */
import type { Request } from '../tables.js'
import type { FairQueue } from '../limits/fair-queue.js'
import type { RoutingContext, Step } from './routing-context.js'
import { dispatch, placeRequest } from './placement.js'

/** Removes requests that ended from the queues, so that they don't count towards a queue's limit. */
export function removeEndedRequests (context: RoutingContext): void {
  context.queues.removeEnded(id => context.world.requests.get(id)?.state !== 'queued')
}

function dispatchQueue (context: RoutingContext, queue: FairQueue<string>, step: Step): void {
  for (let id = queue.peek(); id !== undefined; id = queue.peek()) {
    const request = context.world.requests.get(id)
    const progress = context.progress.get(id)
    if (request?.state !== 'queued' || progress === undefined) {
      queue.shift()
      continue
    }
    const upstreamId = context.dependencies.upstreamSelector.select(
      request.service, context.world.self.zone, request.length, progress.excludedTargetIds, step.now)
    if (upstreamId === undefined) return
    queue.shift()
    dispatch(context, request, progress, upstreamId, false, step)
  }
}

/** Dispatches queued requests of a service while slots are free, short ones first. */
export function dispatchServiceQueues (context: RoutingContext, service: string, step: Step): void {
  for (const { queue } of context.queues.nonEmpty(service)) dispatchQueue(context, queue, step)
}

/** Places the queued requests of a service again if this instance's zone can no longer run them. */
function rerouteStrandedRequests (context: RoutingContext, service: string, step: Step): void {
  const { zone } = context.world.self
  const isEligible = context.eligibleZones.includes(service, zone)
  if (isEligible && context.dependencies.slotLimits.usableAt(service, zone, step.now) !== Infinity) return
  const stranded: Request[] = []
  for (const { queue } of context.queues.nonEmpty(service)) {
    for (const id of queue.remove(() => true)) {
      const request = context.world.requests.get(id)
      if (request !== undefined) stranded.push(request)
    }
  }
  for (const request of stranded) {
    const progress = context.progress.get(request.id)
    if (progress !== undefined) placeRequest(context, request, progress, step)
  }
}

/**
 * Dispatches the queued requests of all services. Called on each tick, because slot limits grow and upstreams come and
 * go without an event of a request.
 */
export function dispatchAllQueues (context: RoutingContext, step: Step): void {
  for (const service of context.queues.services()) {
    if (context.queues.nonEmpty(service).length === 0) continue
    rerouteStrandedRequests(context, service, step)
    dispatchServiceQueues(context, service, step)
  }
}
