/**
 * Estimates how long a request would wait in the own queue, and selects the peer (another entry instance) with the
 * least expected wait. Peers of the own zone are candidates too: each instance may use only its share of the zone's
 * slots, so a peer may have a free slot while this instance has none.
 */
import type { LengthClass } from '../configuration.js'
import type { Reason } from '../reason.js'
import type { Instance, Request } from '../tables.js'
import type { RequestProgress } from './request-progress.js'
import type { RoutingContext } from './routing-context.js'
import { zoneDistance } from './routing-context.js'

/** The peer with the least expected wait, or why there is none. */
export interface PeerSelection {
  readonly instance: Instance | undefined
  /** Expected wait including the round trip; `Infinity` without an instance. */
  readonly waitMs: number
  /** Why a peer with capacity was not selected, if there was one. */
  readonly blockReason: Reason | undefined
}

/** Share of a zone's slots that requests of a length class may use, 0 to 1. */
function usableSlotShare (context: RoutingContext, service: string, length: LengthClass): number {
  return length === 'short' ? 1 : context.configurationIndex.rule(service)?.longShare ?? 1
}

/**
 * Expected wait of one more request in the own queue. It is at least the time that the next queued request has waited,
 * because straggling upstreams complete fewer requests than their slots suggest.
 */
export function ownZoneWaitMs (context: RoutingContext, service: string, length: LengthClass, now: number): number {
  const { slotLimits, upstreamSelector } = context.dependencies
  const { zone } = context.world.self
  const totalSlots = slotLimits.total(service, zone, now)
  // After failures, all upstreams may be paused for a moment. The request then waits for the first probe.
  if (totalSlots === 0) return slotLimits.usableAt(service, zone, now) - now + upstreamSelector.expectedServiceMs(service, length)
  const slots = Math.max(1, Math.floor(totalSlots * usableSlotShare(context, service, length)))
  const queuePosition = context.queues.size(service, length) + 1
  const waitMs = queuePosition * upstreamSelector.expectedServiceMs(service, length) / slots
  const nextRequest = context.world.requests.get(context.queues.peek(service, length) ?? '')
  return nextRequest === undefined ? waitMs : Math.max(waitMs, now - nextRequest.arrivedAt)
}

/**
 * Expected wait at a peer, without the round trip. A peer that refused does not queue forwards, so the wait there is
 * infinite without a free slot.
 */
function peerWaitMs (context: RoutingContext, instance: Instance, request: Request, now: number): number {
  const { free, refused, slots, queued } = context.peerLoad.estimateSlots(
    instance, request.service, request.length, now)
  if (slots === 0) return Infinity
  if (free > 0) return 0
  if (refused) return Infinity
  const queuePosition = queued + 1 - free
  return queuePosition *
    context.dependencies.upstreamSelector.expectedServiceMs(request.service, request.length) / slots
}

function linkWaitMs (
  context: RoutingContext, instance: Instance, request: Request, now: number
): number {
  const from = context.configurationIndex.zone(context.world.self.zone)?.region
  const to = context.configurationIndex.zone(instance.zone)?.region
  if (from === undefined || to === undefined || from === to) return 0
  return context.dependencies.linkBudget.waitMs(from, to, request.contentLength, request.length, now)
}

/** Selects the peer with the least expected wait among those that can start the request before its deadline. */
export function selectPeer (
  context: RoutingContext, request: Request, progress: RequestProgress, now: number
): PeerSelection {
  let selection: PeerSelection = { instance: undefined, waitMs: Infinity, blockReason: undefined }
  const { instances } = context.world
  const remainingMs = request.deadlineAt - now
  for (const instance of instances.values()) {
    if (instance.state !== 'live' || progress.excludedTargetIds.has(instance.id)) continue
    if (!context.eligibleZones.includes(request.service, instance.zone)) continue
    const waitMs = context.roundTrips.estimateMs(instance.zone, zoneDistance(context, instance.zone)) +
      peerWaitMs(context, instance, request, now)
    if (waitMs >= remainingMs || waitMs >= selection.waitMs) continue
    const isMove = instance.zone !== request.originZone
    if (isMove && !context.dependencies.shiftLimiter.mayMove(request.service, request.originZone, instance.zone, now)) {
      selection = { ...selection, blockReason: 'shift-cap' }
      continue
    }
    const totalWaitMs = waitMs + linkWaitMs(context, instance, request, now)
    if (totalWaitMs >= remainingMs) selection = { ...selection, blockReason: selection.blockReason ?? 'link-budget' }
    else if (totalWaitMs < selection.waitMs) selection = { ...selection, instance, waitMs: totalWaitMs }
  }
  return selection
}
