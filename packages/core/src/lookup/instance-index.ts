/**
 * Index of the entry instances that accept new requests, by service and client zone. It is built on demand and
 * discarded when the instances or the configuration change, or when a planned stop begins.
 */
import type { Configuration } from '../configuration.js'
import type { LookupResult } from '../create-engine.js'
import type { World } from '../tables.js'
import { isZoneDrained } from '../configuration/traffic.js'

/** Instances in one look-up result. A client would not get to try more of them before its deadline. */
export const MAX_LOOKUP_INSTANCES = 8

export type LookupInstance = LookupResult['instances'][number]

/**
 * Instances by distance from the client: same zone, other zones of the region, other regions. `elsewhere` stays empty
 * if the first two tiers already contain `MAX_LOOKUP_INSTANCES`.
 */
export type LookupTiers = readonly [zone: readonly LookupInstance[], region: readonly LookupInstance[], elsewhere: readonly LookupInstance[]]

interface ServiceIndex {
  readonly byZone: ReadonlyMap<string, readonly LookupInstance[]>
  readonly tiers: Map<string, LookupTiers>
}

interface InstanceIndex {
  readonly configuration: Configuration
  readonly version: number
  readonly isStopping: boolean
  readonly services: Map<string, ServiceIndex>
}

const indexes = new WeakMap<World, InstanceIndex>()

/** Returns the instances that serve a service, in tiers by distance from a client zone. */
export function findLookupTiers (world: World, configuration: Configuration, service: string, zone: string): LookupTiers {
  const { services } = currentIndex(world, configuration)
  let index = services.get(service)
  if (index === undefined) {
    index = { byZone: groupByZone(world, configuration, service), tiers: new Map() }
    services.set(service, index)
  }
  let tiers = index.tiers.get(zone)
  if (tiers === undefined) {
    tiers = buildTiers(index.byZone, configuration, zone)
    index.tiers.set(zone, tiers)
  }
  return tiers
}

function currentIndex (world: World, configuration: Configuration): InstanceIndex {
  const { version } = world.instances
  const isStopping = world.stoppingSince !== undefined
  const cached = indexes.get(world)
  if (cached?.configuration === configuration && cached.version === version && cached.isStopping === isStopping) return cached
  const index = { configuration, version, isStopping, services: new Map() }
  indexes.set(world, index)
  return index
}

function groupByZone (world: World, configuration: Configuration, service: string): ReadonlyMap<string, readonly LookupInstance[]> {
  const drainedInstances = new Set(configuration.drains
    .filter(drain => drain.kind === 'instance' && (drain.service === undefined || drain.service === service))
    .map(drain => drain.target))
  const drainedZones = new Set(configuration.zones.map(row => row.id)
    .filter(id => isZoneDrained(configuration.drains, service, id)))
  const groups = new Map<string, LookupInstance[]>()
  function add ({ id, zone, address }: LookupInstance): void {
    if (drainedInstances.has(id) || drainedZones.has(zone)) return
    const group = groups.get(zone)
    if (group === undefined) groups.set(zone, [{ id, zone, address }])
    else group.push({ id, zone, address })
  }
  if (world.stoppingSince === undefined) add(world.self)
  for (const instance of world.instances.values()) if (instance.state === 'live') add(instance)
  // The order of the table differs between instances, but all should give a client the same result.
  for (const group of groups.values()) group.sort((a, b) => (a.id < b.id ? -1 : 1))
  return groups
}

function buildTiers (byZone: ReadonlyMap<string, readonly LookupInstance[]>, configuration: Configuration, zone: string): LookupTiers {
  const regions = new Map(configuration.zones.map(row => [row.id, row.region]))
  const region = regions.get(zone)
  const sameZone = byZone.get(zone) ?? []
  const others = [...byZone.keys()].filter(id => id !== zone).sort()
  const isInRegion = (id: string): boolean => region !== undefined && regions.get(id) === region
  const sameRegion = others.filter(isInRegion).flatMap(id => byZone.get(id) ?? [])
  if (sameZone.length + sameRegion.length >= MAX_LOOKUP_INSTANCES) return [sameZone, sameRegion, []]
  return [sameZone, sameRegion, others.filter(id => !isInRegion(id)).flatMap(id => byZone.get(id) ?? [])]
}
