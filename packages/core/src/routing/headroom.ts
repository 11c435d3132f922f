/**
 * Headroom of the own zone, for heartbeats and for answers to forwarded requests.
 */
import type { Headroom } from '../heartbeat.js'
import type { RoutingContext } from './routing-context.js'

/** Free slots, all slots and queued requests of a service; `undefined` if the own zone takes no new work for it. */
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

/** The headroom of all services. */
export function zoneHeadroom (context: RoutingContext, now: number): readonly Headroom[] {
  const services = context.world.configuration?.services ?? []
  return services.map(({ id }) => serviceHeadroom(context, id, now)).filter(row => row !== undefined)
}
