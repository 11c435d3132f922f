/**
 * Selects among the own queue and other entry instances, by expected wait. Instances of the own zone count as well:
 * each may use only its share of the zone's slots, so a peer may have a free one while this instance has none.
 */
import type { LengthClass } from '../configuration.js'
import type { Reason } from '../reason.js'
import type { Instance, Request } from '../tables.js'
import type { Progress } from './progress.js'
import type { RoutingContext } from './routing-context.js'
import { distance } from './routing-context.js'

/** The best other instance, or why there is none. */
export interface ZoneChoice {
  readonly instance: Instance | undefined
  /** Expected wait including the round trip, in milliseconds; `Infinity` without an instance. */
  readonly waitMs: number
  /** What kept a zone with capacity from being selected. */
  readonly blocked: Reason | undefined
}

/** Share of the slots that a length class may use. */
function slotShare (context: RoutingContext, service: string, length: LengthClass): number {
  return length === 'short' ? 1 : context.rows.rule(service)?.longShare ?? 1
}

/**
 * Expected wait of one more request behind those that already wait in the own zone, in milliseconds. It is at least
 * the time that the next one has waited, because stragglers serve less than their slots promise.
 */
export function ownWaitMs (context: RoutingContext, service: string, length: LengthClass, now: number): number {
  const { slots: limits, upstreams } = context.parts
  const { zone } = context.world.self
  const total = limits.total(service, zone, now)
  // All upstreams may pause after a failure for a moment; the request then waits for the first probe.
  if (total === 0) return limits.usableAt(service, zone, now) - now + upstreams.expectedServiceMs(service, length)
  const slots = Math.max(1, Math.floor(total * slotShare(context, service, length)))
  const ahead = context.queues.size(service, length) + 1
  const waitMs = ahead * upstreams.expectedServiceMs(service, length) / slots
  const next = context.world.requests.get(context.queues.next(service, length) ?? '')
  return next === undefined ? waitMs : Math.max(waitMs, now - next.arrivedAt)
}

/** Wait at a peer. One that refused has no queue for forwarded work, so only a free slot counts there. */
function peerWaitMs (context: RoutingContext, instance: Instance, request: Request, now: number): number {
  const { free, refused, slots, queued } = context.peerLoad.freeSlots(instance, request.service, request.length, now)
  if (slots === 0) return Infinity
  if (free > 0) return 0
  if (refused) return Infinity
  const ahead = queued + 1 - free
  return ahead * context.parts.upstreams.expectedServiceMs(request.service, request.length) / slots
}

function linkWaitMs (
  context: RoutingContext, instance: Instance, request: Request, now: number
): number {
  const from = context.rows.zone(context.world.self.zone)?.region
  const to = context.rows.zone(instance.zone)?.region
  if (from === undefined || to === undefined || from === to) return 0
  return context.parts.links.waitMs(from, to, request.contentLength, request.length, now)
}

/** Selects the other instance with the least expected wait that ends before the deadline. */
export function selectPeer (context: RoutingContext, request: Request, progress: Progress, now: number): ZoneChoice {
  let choice: ZoneChoice = { instance: undefined, waitMs: Infinity, blocked: undefined }
  const { instances } = context.world
  const leftMs = request.deadlineAt - now
  for (const instance of instances.values()) {
    if (instance.state !== 'live' || progress.tried.has(instance.id)) continue
    if (!context.hosting.accepts(request.service, instance.zone)) continue
    const waitMs = context.trips.estimateMs(instance.zone, distance(context, instance.zone)) + peerWaitMs(context, instance, request, now)
    if (waitMs >= leftMs || waitMs >= choice.waitMs) continue
    const moves = instance.zone !== request.originZone
    if (moves && !context.parts.shifts.mayMove(request.service, request.originZone, instance.zone, now)) {
      choice = { ...choice, blocked: 'shift-cap' }
      continue
    }
    const withLinkMs = waitMs + linkWaitMs(context, instance, request, now)
    if (withLinkMs >= leftMs) choice = { ...choice, blocked: choice.blocked ?? 'link-budget' }
    else if (withLinkMs < choice.waitMs) choice = { ...choice, instance, waitMs: withLinkMs }
  }
  return choice
}
