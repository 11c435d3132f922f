/**
 * Decides where a request runs: at an upstream of the own zone, in another zone, in the queue, or nowhere.
 */
import type { Reason } from '../reason.js'
import type { Instance, Request } from '../tables.js'
import type { Progress } from './progress.js'
import type { RoutingContext, Step } from './routing-context.js'
import { refuse } from './completion.js'
import { forgetTried } from './progress.js'
import { setState } from './routing-context.js'
import { ownWaitMs, selectPeer } from './zone-selector.js'

function recordMove (context: RoutingContext, request: Request, progress: Progress, zone: string, now: number): void {
  if (zone === request.originZone || progress.moved || progress.onlyHere) return
  progress.moved = true
  context.parts.shifts.recordMove(request.service, request.originZone, zone, now)
}

/** Starts an attempt at an upstream of the own zone. */
export function dispatch (
  context: RoutingContext, request: Request, progress: Progress, upstreamId: string, hedge: boolean, step: Step
): void {
  const upstream = context.world.upstreams.get(upstreamId)
  if (upstream === undefined) return
  const target = { type: 'upstream', id: upstreamId } as const
  const attempt = context.attempts.start(request, progress, { target, zone: upstream.zone, hedge }, step.now)
  setState(context, request, 'running')
  step.commands.push({
    type: 'dispatch',
    requestId: request.id,
    attemptId: attempt.id,
    upstreamId,
    address: upstream.address,
    timeoutMs: request.deadlineAt - step.now
  })
  if (hedge || request.kind !== 'repeatable' || request.length !== 'short') return
  const delayMs = context.parts.hedges.delayMs(request.service, step.now)
  if (delayMs !== undefined) context.hedgeTimers.add(step.now + delayMs, request.id)
}

/** Starts an attempt at another entry instance. */
export function forward (
  context: RoutingContext, request: Request, progress: Progress, instance: Instance, step: Step
): void {
  const { id, zone, peerAddress } = instance
  const start = { target: { type: 'instance', id }, zone, hedge: false } as const
  const attempt = context.attempts.start(request, progress, start, step.now)
  setState(context, request, 'running')
  const keyHome = progress.keyHome !== undefined
  const from = context.rows.zone(context.world.self.zone)?.region
  const to = context.rows.zone(zone)?.region
  if (from !== undefined && to !== undefined && from !== to) {
    context.parts.links.take(from, to, request.contentLength, step.now)
  }
  if (!keyHome) recordMove(context, request, progress, zone, step.now)
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

/** Why the own zone may not run the request; `undefined` when it may. */
function ownZoneBlocked (context: RoutingContext, request: Request, progress: Progress, now: number): Reason | undefined {
  const { zone } = context.world.self
  if (!context.hosting.accepts(request.service, zone)) return 'no-capacity'
  if (progress.onlyHere || progress.moved || zone === request.originZone) return undefined
  return context.parts.shifts.mayMove(request.service, request.originZone, zone, now) ? undefined : 'shift-cap'
}

function selectOwn (context: RoutingContext, request: Request, progress: Progress, now: number): string | undefined {
  // Requests that wait go first; a queue that is not empty means that no slot was free for this class.
  if (context.queues.size(request.service, request.length) > 0) return undefined
  return context.parts.upstreams.select(
    request.service, context.world.self.zone, request.length, progress.tried, now)
}

function enqueue (context: RoutingContext, request: Request, progress: Progress, step: Step): boolean {
  if (!context.queues.push(request)) return false
  recordMove(context, request, progress, context.world.self.zone, step.now)
  // An upstream that refused may accept the request after the wait.
  forgetTried(progress)
  setState(context, request, 'queued')
  return true
}

/** Forwards of one request. Each refused one costs a round trip, and the own queue may still take the request. */
export const MAX_FORWARDS = 2

/** A second forward needs the retry budget; the first one does not. */
function mayForward (context: RoutingContext, request: Request, progress: Progress, now: number): boolean {
  if (progress.forwards >= MAX_FORWARDS) return false
  return progress.forwards === 0 || context.parts.retries.take(request.service, now)
}

/** Places a request that has no open attempt. */
export function place (context: RoutingContext, request: Request, progress: Progress, step: Step): void {
  const { now } = step
  if (now >= request.deadlineAt) return refuse(context, request, 'deadline-passed', step)
  const blocked = ownZoneBlocked(context, request, progress, now)
  if (blocked === undefined) {
    const upstreamId = selectOwn(context, request, progress, now)
    if (upstreamId !== undefined) {
      recordMove(context, request, progress, context.world.self.zone, now)
      return dispatch(context, request, progress, upstreamId, false, step)
    }
  }
  if (progress.onlyHere) return refuse(context, request, 'no-capacity', step)
  const waitMs = blocked === undefined ? ownWaitMs(context, request.service, request.length, now) : Infinity
  const peer = selectPeer(context, request, progress, now)
  const prefersPeer = peer.waitMs < waitMs
  if (peer.instance !== undefined && prefersPeer && mayForward(context, request, progress, now)) {
    return forward(context, request, progress, peer.instance, step)
  }
  if (now + waitMs >= request.deadlineAt) {
    const reason = prefersPeer ? 'retry-budget' : peer.blocked ?? blocked ?? 'no-capacity'
    return refuse(context, request, reason, step)
  }
  if (enqueue(context, request, progress, step)) return
  if (peer.instance !== undefined && !prefersPeer && mayForward(context, request, progress, now)) {
    return forward(context, request, progress, peer.instance, step)
  }
  refuse(context, request, 'queue-full', step)
}
