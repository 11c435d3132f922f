/**
 * Headroom of the own zone, for the heartbeat.
 */
import type { Headroom } from '../heartbeat.js'
import type { RoutingContext } from './routing-context.js'

/** Free slots, all slots and queued requests of each service that the own zone takes new work for. */
export function headroomOf (context: RoutingContext, now: number): readonly Headroom[] {
  const { zone } = context.world.self
  const services = context.world.configuration?.services ?? []
  return services.filter(({ id }) => context.hosting.accepts(id, zone)).map(({ id }) => ({
    service: id,
    free: context.parts.slots.free(id, zone, now),
    slots: context.parts.slots.total(id, zone, now),
    queued: context.queues.size(id, 'short') + context.queues.size(id, 'long')
  }))
}
