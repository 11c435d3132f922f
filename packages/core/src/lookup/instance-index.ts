/**
 * Entry instances that take new work, by service and zone. The index is rebuilt when the instances, the configuration
 * or a planned stop change it.
 */
import type { Configuration } from '../configuration.js'
import type { LookupAnswer } from '../create-engine.js'
import type { World } from '../tables.js'
import { isZoneDrained } from '../configuration/traffic.js'

/** More instances would not be tried within a client's deadline. */
export const MAX_LOOKUP_INSTANCES = 8

export type Entry = LookupAnswer['instances'][number]

/** Same zone, same region, elsewhere. `elsewhere` stays empty when the first two fill an answer. */
export type Tiers = readonly [zone: readonly Entry[], region: readonly Entry[], elsewhere: readonly Entry[]]

interface ServiceIndex {
  readonly byZone: ReadonlyMap<string, readonly Entry[]>
  readonly tiers: Map<string, Tiers>
}

interface Index {
  readonly configuration: Configuration
  readonly version: number
  readonly isStopping: boolean
  readonly services: Map<string, ServiceIndex>
}

const indexes = new WeakMap<World, Index>()

/** Instances for clients of a zone. */
export function tiersFor (world: World, configuration: Configuration, service: string, zone: string): Tiers {
  const { services } = indexOf(world, configuration)
  let index = services.get(service)
  if (index === undefined) {
    index = { byZone: groupByZone(world, configuration, service), tiers: new Map() }
    services.set(service, index)
  }
  let tiers = index.tiers.get(zone)
  if (tiers === undefined) {
    tiers = tiersOf(index.byZone, configuration, zone)
    index.tiers.set(zone, tiers)
  }
  return tiers
}

function indexOf (world: World, configuration: Configuration): Index {
  const { version } = world.instances
  const isStopping = world.stoppingSince !== undefined
  const known = indexes.get(world)
  if (known?.configuration === configuration && known.version === version && known.isStopping === isStopping) return known
  const index = { configuration, version, isStopping, services: new Map() }
  indexes.set(world, index)
  return index
}

function groupByZone (world: World, configuration: Configuration, service: string): ReadonlyMap<string, readonly Entry[]> {
  const drained = new Set(configuration.drains
    .filter(drain => drain.kind === 'instance' && (drain.service === undefined || drain.service === service))
    .map(drain => drain.target))
  const closedZones = new Set(configuration.zones.map(row => row.id)
    .filter(id => isZoneDrained(configuration.drains, service, id)))
  const groups = new Map<string, Entry[]>()
  function add ({ id, zone, address }: Entry): void {
    if (drained.has(id) || closedZones.has(zone)) return
    const group = groups.get(zone)
    if (group === undefined) groups.set(zone, [{ id, zone, address }])
    else group.push({ id, zone, address })
  }
  if (world.stoppingSince === undefined) add(world.self)
  for (const instance of world.instances.values()) if (instance.state === 'live') add(instance)
  // Tables differ in their order between instances, answers for a client should not.
  for (const group of groups.values()) group.sort((a, b) => (a.id < b.id ? -1 : 1))
  return groups
}

function tiersOf (byZone: ReadonlyMap<string, readonly Entry[]>, configuration: Configuration, zone: string): Tiers {
  const regions = new Map(configuration.zones.map(row => [row.id, row.region]))
  const region = regions.get(zone)
  const own = byZone.get(zone) ?? []
  const others = [...byZone.keys()].filter(id => id !== zone).sort()
  const isNear = (id: string): boolean => region !== undefined && regions.get(id) === region
  const near = others.filter(isNear).flatMap(id => byZone.get(id) ?? [])
  if (own.length + near.length >= MAX_LOOKUP_INSTANCES) return [own, near, []]
  return [own, near, others.filter(id => !isNear(id)).flatMap(id => byZone.get(id) ?? [])]
}
