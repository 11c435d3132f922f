/**
 * Limits on the slots of each upstream that this instance may use. The first version gives the equal share only.
 */
import type { World } from '../tables.js'
import type { Outstanding } from './outstanding.js'
import { createConfigurationIndex } from './configuration-index.js'

/** Slot limits of this instance. Times are monotonic milliseconds. */
export interface SlotLimits {
  /** Slots of the upstream that this instance may use now. 0 for an unknown, leaving or drained upstream. */
  readonly limit: (upstreamId: string, now: number) => number
  /** The upstream refused an attempt before it ran. */
  readonly recordRefusal: (upstreamId: string, now: number) => void
  /** The upstream finished an attempt. */
  readonly recordCompletion: (upstreamId: string, now: number) => void
  /** Free slots of a service in a zone, within the limits. */
  readonly free: (service: string, zone: string, now: number) => number
  /** Sum of the limits of a service in a zone. */
  readonly total: (service: string, zone: string, now: number) => number
}

/** Creates the slot limits of one instance. */
export function createSlotLimits (world: World, outstanding: Outstanding): SlotLimits {
  const configuration = createConfigurationIndex(world)

  function limit (upstreamId: string, _now: number): number {
    const upstream = world.upstreams.get(upstreamId)
    if (upstream === undefined || upstream.state !== 'live' || upstream.zone !== world.self.zone) return 0
    const service = configuration.service(upstream.service)
    const zone = configuration.zone(upstream.zone)
    if (service === undefined || zone === undefined || configuration.drained(upstream)) return 0
    return Math.floor(service.slots / Math.max(1, zone.instances))
  }

  function sum (service: string, zone: string, value: (upstreamId: string) => number): number {
    let total = 0
    for (const row of world.upstreams.values()) {
      if (row.service === service && row.zone === zone) total += value(row.id)
    }
    return total
  }

  return {
    limit,
    recordRefusal: () => {},
    recordCompletion: () => {},
    free: (service, zone, now) =>
      sum(service, zone, id => Math.max(0, limit(id, now) - outstanding.count(id))),
    total: (service, zone, now) => sum(service, zone, id => limit(id, now))
  }
}
