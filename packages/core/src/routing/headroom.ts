/**
 * Headroom of this instance's zone, for heartbeats and for answers to forwarded requests.
 */
import type { Headroom } from '../heartbeat.js'
import type { RoutingContext } from './routing-context.js'

/** Headroom of one service; `undefined` if this instance's zone accepts no new work for it. */
export function serviceHeadroom (context: RoutingContext, service: string, now: number): Headroom | undefined {
  const { zone } = context.world.self
  if (!context.eligibleZones.includes(service, zone)) return undefined
  return {
    service,
    free: context.dependencies.slotLimits.free(service, zone, now),
    slots: context.dependencies.slotLimits.total(service, zone, now),
    queued: context.queues.size(service, 'short') + context.queues.size(service, 'long')
  }
}

/** Headroom of each service that this instance's zone accepts new work for. */
export function zoneHeadroom (context: RoutingContext, now: number): readonly Headroom[] {
  const services = context.world.configuration?.services ?? []
  return services.map(({ id }) => serviceHeadroom(context, id, now)).filter(row => row !== undefined)
}
