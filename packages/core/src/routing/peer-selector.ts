/**
 * Selects among the own queue and other entry instances, by expected wait. Instances of the own zone count as well:
 * each may use only its share of the zone's slots, so a peer may have a free one while this instance has none.
 */
import type { LengthClass } from '../configuration.js'
import type { Reason } from '../reason.js'
import type { Instance, Request } from '../tables.js'
import type { RequestProgress } from './request-progress.js'
import type { RoutingContext } from './routing-context.js'
import { zoneDistance } from './routing-context.js'

/** The best other instance, or why there is none. */
export interface PeerSelection {
  readonly instance: Instance | undefined
  /** Expected wait including the round trip, in milliseconds; `Infinity` without an instance. */
  readonly waitMs: number
  /** What kept a zone with capacity from being selected. */
  readonly blockReason: Reason | undefined
}

/** Share of the slots that a length class may use. */
function usableSlotShare (context: RoutingContext, service: string, length: LengthClass): number {
  return length === 'short' ? 1 : context.configurationIndex.rule(service)?.longShare ?? 1
}

/**
 * Expected wait of one more request behind those that already wait in the own zone, in milliseconds. It is at least
 * the time that the next one has waited, because stragglers serve less than their slots promise.
 */
export function ownZoneWaitMs (context: RoutingContext, service: string, length: LengthClass, now: number): number {
  const { slotLimits, upstreamSelector } = context.dependencies
  const { zone } = context.world.self
  const totalSlots = slotLimits.total(service, zone, now)
  // All upstreams may pause after a failure for a moment; the request then waits for the first probe.
  if (totalSlots === 0) return slotLimits.usableAt(service, zone, now) - now + upstreamSelector.expectedServiceMs(service, length)
  const slots = Math.max(1, Math.floor(totalSlots * usableSlotShare(context, service, length)))
  const ahead = context.queues.size(service, length) + 1
  const waitMs = ahead * upstreamSelector.expectedServiceMs(service, length) / slots
  const nextRequest = context.world.requests.get(context.queues.peek(service, length) ?? '')
  return nextRequest === undefined ? waitMs : Math.max(waitMs, now - nextRequest.arrivedAt)
}

/** Wait at a peer. One that refused has no queue for forwarded work, so only a free slot counts there. */
function peerWaitMs (context: RoutingContext, instance: Instance, request: Request, now: number): number {
  const { free, refused, slots, queued } = context.peerLoad.estimateSlots(instance, request.service, request.length, now)
  if (slots === 0) return Infinity
  if (free > 0) return 0
  if (refused) return Infinity
  const ahead = queued + 1 - free
  return ahead * context.dependencies.upstreamSelector.expectedServiceMs(request.service, request.length) / slots
}

function linkWaitMs (
  context: RoutingContext, instance: Instance, request: Request, now: number
): number {
  const from = context.configurationIndex.zone(context.world.self.zone)?.region
  const to = context.configurationIndex.zone(instance.zone)?.region
  if (from === undefined || to === undefined || from === to) return 0
  return context.dependencies.linkBudget.waitMs(from, to, request.contentLength, request.length, now)
}

/** Selects the other instance with the least expected wait that ends before the deadline. */
export function selectPeer (context: RoutingContext, request: Request, progress: RequestProgress, now: number): PeerSelection {
  let selection: PeerSelection = { instance: undefined, waitMs: Infinity, blockReason: undefined }
  const { instances } = context.world
  const remainingMs = request.deadlineAt - now
  for (const instance of instances.values()) {
    if (instance.state !== 'live' || progress.excludedTargetIds.has(instance.id)) continue
    if (!context.eligibleZones.includes(request.service, instance.zone)) continue
    const waitMs = context.roundTrips.estimateMs(instance.zone, zoneDistance(context, instance.zone)) + peerWaitMs(context, instance, request, now)
    if (waitMs >= remainingMs || waitMs >= selection.waitMs) continue
    const leavesOriginZone = instance.zone !== request.originZone
    if (leavesOriginZone && !context.dependencies.shiftMeter.mayMove(request.service, request.originZone, instance.zone, now)) {
      selection = { ...selection, blockReason: 'shift-cap' }
      continue
    }
    const totalWaitMs = waitMs + linkWaitMs(context, instance, request, now)
    if (totalWaitMs >= remainingMs) selection = { ...selection, blockReason: selection.blockReason ?? 'link-budget' }
    else if (totalWaitMs < selection.waitMs) selection = { ...selection, instance, waitMs: totalWaitMs }
  }
  return selection
}
