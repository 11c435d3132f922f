/**
 * Decides what happens to a request that has no open attempt: it is dispatched to an upstream of this instance's zone,
 * forwarded to another entry instance, queued, or ended with an error.
 */
import type { Reason } from '../reason.js'
import type { Instance, Request } from '../tables.js'
import type { RequestProgress } from './request-progress.js'
import type { RoutingContext, Step } from './routing-context.js'
import { completeWithError } from './completion.js'
import { clearExcludedTargets } from './request-progress.js'
import { setRequestState } from './routing-context.js'
import { ownZoneWaitMs, selectPeer } from './peer-selector.js'

function recordMoveOnce (
  context: RoutingContext, request: Request, progress: RequestProgress, zone: string, now: number
): void {
  if (zone === request.originZone || progress.countedAsMoved || progress.localOnly) return
  progress.countedAsMoved = true
  context.dependencies.shiftLimiter.recordMove(request.service, request.originZone, zone, now)
}

/** Starts an attempt at an upstream of this instance's zone. */
export function dispatch (
  context: RoutingContext, request: Request, progress: RequestProgress, upstreamId: string, hedge: boolean, step: Step
): void {
  const upstream = context.world.upstreams.get(upstreamId)
  if (upstream === undefined) return
  const target = { type: 'upstream', id: upstreamId } as const
  const attempt = context.attempts.start(request, progress, { target, zone: upstream.zone, hedge }, step.now)
  setRequestState(context, request, 'running')
  step.commands.push({
    type: 'dispatch',
    requestId: request.id,
    attemptId: attempt.id,
    upstreamId,
    address: upstream.address,
    timeoutMs: request.deadlineAt - step.now
  })
  if (hedge || request.kind !== 'repeatable' || request.length !== 'short') return
  const delayMs = context.dependencies.hedgePolicy.delayMs(request.service, step.now)
  if (delayMs !== undefined) context.hedgeTimers.add(step.now + delayMs, request.id)
}

/** Starts an attempt at another entry instance. */
export function forward (
  context: RoutingContext, request: Request, progress: RequestProgress, instance: Instance, step: Step
): void {
  const { id, zone, peerAddress } = instance
  const options = { target: { type: 'instance', id }, zone, hedge: false } as const
  const attempt = context.attempts.start(request, progress, options, step.now)
  setRequestState(context, request, 'running')
  const keyHome = progress.keyHome !== undefined
  const from = context.configurationIndex.zone(context.world.self.zone)?.region
  const to = context.configurationIndex.zone(zone)?.region
  if (from !== undefined && to !== undefined && from !== to) {
    context.dependencies.linkBudget.consume(from, to, request.contentLength, step.now)
  }
  if (!keyHome) recordMoveOnce(context, request, progress, zone, step.now)
  step.commands.push({
    type: 'forward',
    requestId: request.id,
    attemptId: attempt.id,
    instanceId: id,
    address: peerAddress,
    timeoutMs: request.deadlineAt - step.now,
    originZone: request.originZone,
    tenant: request.tenant,
    keyHome
  })
}

/** Why this instance's zone may not run the request; `undefined` when it may. */
function ownZoneBlockReason (
  context: RoutingContext, request: Request, progress: RequestProgress, now: number
): Reason | undefined {
  const { zone } = context.world.self
  if (!context.eligibleZones.includes(request.service, zone)) return 'no-capacity'
  if (progress.localOnly || progress.countedAsMoved || zone === request.originZone) return undefined
  return context.dependencies.shiftLimiter.mayMove(request.service, request.originZone, zone, now)
    ? undefined
    : 'shift-cap'
}

function selectOwnZoneUpstream (
  context: RoutingContext, request: Request, progress: RequestProgress, now: number
): string | undefined {
  // Queued requests go first. They would not be queued if a slot were free for this length class.
  if (context.queues.size(request.service, request.length) > 0) return undefined
  return context.dependencies.upstreamSelector.select(
    request.service, context.world.self.zone, request.length, progress.excludedTargetIds, now)
}

function enqueue (context: RoutingContext, request: Request, progress: RequestProgress, step: Step): boolean {
  if (!context.queues.push(request)) return false
  recordMoveOnce(context, request, progress, context.world.self.zone, step.now)
  // By the time the request leaves the queue, an upstream that refused it before may accept it.
  clearExcludedTargets(progress)
  setRequestState(context, request, 'queued')
  return true
}

/** Each refused forward costs a round trip, after which this instance's queue may still accept the request. */
export const MAX_FORWARDS_PER_REQUEST = 2

/** Whether the request may be forwarded. The first forward is free; a second one takes from the retry budget. */
function reserveForward (context: RoutingContext, request: Request, progress: RequestProgress, now: number): boolean {
  if (progress.forwards >= MAX_FORWARDS_PER_REQUEST) return false
  return progress.forwards === 0 || context.dependencies.retryBudget.tryAcquire(request.service, now)
}

/**
 * Places a request that has no open attempt. A free slot in this instance's zone comes first, then the shorter expected
 * wait of the own queue and the best peer.
 */
export function placeRequest (context: RoutingContext, request: Request, progress: RequestProgress, step: Step): void {
  const { now } = step
  if (now >= request.deadlineAt) return completeWithError(context, request, 'deadline-passed', step)
  const ownBlockReason = ownZoneBlockReason(context, request, progress, now)
  if (ownBlockReason === undefined) {
    const upstreamId = selectOwnZoneUpstream(context, request, progress, now)
    if (upstreamId !== undefined) {
      recordMoveOnce(context, request, progress, context.world.self.zone, now)
      return dispatch(context, request, progress, upstreamId, false, step)
    }
  }
  if (progress.localOnly) return completeWithError(context, request, 'no-capacity', step)
  const queueWaitMs = ownBlockReason === undefined
    ? ownZoneWaitMs(context, request.service, request.length, now)
    : Infinity
  const peer = selectPeer(context, request, progress, now)
  const prefersPeer = peer.waitMs < queueWaitMs
  if (peer.instance !== undefined && prefersPeer && reserveForward(context, request, progress, now)) {
    return forward(context, request, progress, peer.instance, step)
  }
  if (now + queueWaitMs >= request.deadlineAt) {
    const reason = prefersPeer ? 'retry-budget' : peer.blockReason ?? ownBlockReason ?? 'no-capacity'
    return completeWithError(context, request, reason, step)
  }
  if (enqueue(context, request, progress, step)) return
  if (peer.instance !== undefined && !prefersPeer && reserveForward(context, request, progress, now)) {
    return forward(context, request, progress, peer.instance, step)
  }
  completeWithError(context, request, 'queue-full', step)
}
