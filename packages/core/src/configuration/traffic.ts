/**
 * Computes how a configuration distributes the traffic of each origin zone over the serving zones, assuming that all of
 * them have enough capacity. Current load is ignored, so that every instance computes the same plan.
 */
import type { Configuration, Drain } from '../configuration.js'

/** Share of an origin's traffic by serving zone, 0 to 1. The shares add up to 1; the map is empty if no zone serves it. */
export type TrafficShares = ReadonlyMap<string, number>

/** Shift cap of a service without a rule: all of its traffic may shift. */
const UNLIMITED_SHIFT_CAP = 1

/** Returns whether a zone is drained for a service, so that it gets no new requests of it. */
export function isZoneDrained (drains: readonly Drain[], service: string, zone: string): boolean {
  return drains.some(drain => drain.kind === 'zone' && drain.target === zone &&
    (drain.service === undefined || drain.service === service))
}

/** Returns the zones that host a service and are not drained for it. */
export function undrainedZones (configuration: Configuration, service: string): readonly string[] {
  return configuration.places
    .filter(place => place.service === service && !isZoneDrained(configuration.drains, service, place.zone))
    .map(place => place.zone)
}

/** Returns the region of a zone, or `undefined` if the zone is not configured. */
export function regionOf (configuration: Configuration, zone: string): string | undefined {
  return configuration.zones.find(row => row.id === zone)?.region
}

/**
 * Distributes the traffic of an origin zone. The zone serves all of it if it can; otherwise the zones of its region
 * share it, or else all other zones, in proportion to their configured entry instances.
 */
export function trafficShares (configuration: Configuration, service: string, origin: string): TrafficShares {
  const undrained = undrainedZones(configuration, service)
  if (undrained.includes(origin)) return new Map([[origin, 1]])
  const region = regionOf(configuration, origin)
  const sameRegion = undrained.filter(zone => regionOf(configuration, zone) === region)
  const servingZones = sameRegion.length > 0 ? sameRegion : undrained
  const weights = servingZones.map(zone => configuration.zones.find(row => row.id === zone)?.instances ?? 0)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return new Map(servingZones.map((zone, index) => [zone, (weights[index] ?? 0) / total]))
}

/** Returns the share of an origin's traffic that is served outside the scope of the service's rule, 0 to 1. */
export function shiftedShare (configuration: Configuration, service: string, origin: string, shares: TrafficShares): number {
  const scope = configuration.rules.find(rule => rule.service === service)?.scope ?? 'region'
  const originRegion = regionOf(configuration, origin)
  let shifted = 0
  for (const [zone, share] of shares) {
    const isInScope = scope === 'zone' ? zone === origin : regionOf(configuration, zone) === originRegion
    if (!isInScope) shifted += share
  }
  return shifted
}

/** Returns the shift cap of a service, 0 to 1. */
export function shiftCapOf (configuration: Configuration, service: string): number {
  return configuration.rules.find(rule => rule.service === service)?.shiftCap ?? UNLIMITED_SHIFT_CAP
}
