/**
 * Where a configuration sends the traffic of a zone when every place has room. Live load is not part of it, so that
 * every instance computes the same plan.
 */
import type { Configuration, Drain } from '../configuration.js'

/** Share of an origin's traffic by the zone that serves it; empty if no zone does. The shares add up to 1. */
export type TrafficShares = ReadonlyMap<string, number>

/** Cap of a service without a rule: nothing limits its shifts. */
const UNLIMITED_SHIFT_CAP = 1

/** Whether new work of a service may go to a zone, as far as drains of zones say. */
export function isZoneDrained (drains: readonly Drain[], service: string, zone: string): boolean {
  return drains.some(drain => drain.kind === 'zone' && drain.target === zone &&
    (drain.service === undefined || drain.service === service))
}

/** Zones that host a service and are not drained for it. */
export function openZones (configuration: Configuration, service: string): readonly string[] {
  return configuration.places
    .filter(place => place.service === service && !isZoneDrained(configuration.drains, service, place.zone))
    .map(place => place.zone)
}

/** Region of a zone, if the zone is configured. */
export function regionOf (configuration: Configuration, zone: string): string | undefined {
  return configuration.zones.find(row => row.id === zone)?.region
}

/**
 * The zone itself serves its traffic if it can, else the zones of its region, else all others, in proportion to their
 * entry instances.
 */
export function trafficShares (configuration: Configuration, service: string, origin: string): TrafficShares {
  const undrained = openZones(configuration, service)
  if (undrained.includes(origin)) return new Map([[origin, 1]])
  const region = regionOf(configuration, origin)
  const sameRegion = undrained.filter(zone => regionOf(configuration, zone) === region)
  const servingZones = sameRegion.length > 0 ? sameRegion : undrained
  const weights = servingZones.map(zone => configuration.zones.find(row => row.id === zone)?.instances ?? 0)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return new Map(servingZones.map((zone, index) => [zone, (weights[index] ?? 0) / total]))
}

/** Share of an origin's traffic that is served outside the scope of the service's rule. */
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

/** The shift cap of a service, 0 to 1. */
export function shiftCapOf (configuration: Configuration, service: string): number {
  return configuration.rules.find(rule => rule.service === service)?.shiftCap ?? UNLIMITED_SHIFT_CAP
}
