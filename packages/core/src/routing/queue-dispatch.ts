/**
 * Serves the queues whenever a slot may be free.
 */
import type { Request } from '../tables.js'
import type { FairQueue } from '../limits/fair-queue.js'
import type { RoutingContext, Step } from './routing-context.js'
import { dispatch, placeRequest } from './placement.js'

/** Removes queued requests that ended, so that they occupy no place in a queue. */
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

/** Dispatches queued requests of a service while slots are free. */
export function dispatchServiceQueues (context: RoutingContext, service: string, step: Step): void {
  for (const { queue } of context.queues.nonEmpty(service)) dispatchQueue(context, queue, step)
}

/** Places the queued requests of a service anew when the own zone can no longer run them. */
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

/** Serves all queues; called on each tick, because limits grow and upstreams come and go between events. */
export function dispatchAllQueues (context: RoutingContext, step: Step): void {
  for (const service of context.queues.services()) {
    if (context.queues.nonEmpty(service).length === 0) continue
    rerouteStrandedRequests(context, service, step)
    dispatchServiceQueues(context, service, step)
  }
}
