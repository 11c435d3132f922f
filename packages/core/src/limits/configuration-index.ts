/**
 * Index of the current configuration for look-ups by key. It is rebuilt on the first look-up after the configuration
 * of the world was replaced.
 */
import type { AvailabilityZone, Configuration, Rule, Service } from '../configuration.js'
import type { Upstream, World } from '../tables.js'

/** Look-ups in the current configuration. Without one they return `undefined`, 0 or `false`. */
export interface ConfigurationIndex {
  readonly service: (id: string) => Service | undefined
  readonly zone: (id: string) => AvailabilityZone | undefined
  readonly rule: (service: string) => Rule | undefined
  /** Configured number of entry instances in all zones of a region. */
  readonly instancesInRegion: (region: string) => number
  /** Rate of the link from one region to another in megabits per second; undefined when none is configured. */
  readonly linkMbitPerSecond: (from: string, to: string) => number | undefined
  /** Whether a drain targets the upstream or its zone, the latter for all services or for the upstream's service. */
  readonly isDrained: (upstream: Upstream) => boolean
}

/** Maps and sets that are built from one configuration. */
interface Lookups {
  readonly services: ReadonlyMap<string, Service>
  readonly zones: ReadonlyMap<string, AvailabilityZone>
  readonly rules: ReadonlyMap<string, Rule>
  readonly instancesByRegion: ReadonlyMap<string, number>
  /** Megabits per second by `from>to`. */
  readonly links: ReadonlyMap<string, number>
  readonly drainedUpstreams: ReadonlySet<string>
  /** Zone ids, and `zone:service` for drains that are limited to one service. */
  readonly drainedZones: ReadonlySet<string>
}

const byId = <T extends { readonly id: string }> (rows: readonly T[]): Map<string, T> =>
  new Map(rows.map(row => [row.id, row]))

function build (configuration: Configuration): Lookups {
  const instancesByRegion = new Map<string, number>()
  for (const zone of configuration.zones) {
    instancesByRegion.set(zone.region, (instancesByRegion.get(zone.region) ?? 0) + zone.instances)
  }
  return {
    services: byId(configuration.services),
    zones: byId(configuration.zones),
    rules: new Map(configuration.rules.map(row => [row.service, row])),
    instancesByRegion,
    links: new Map(configuration.links.map(row => [`${row.from}>${row.to}`, row.mbitPerSecond])),
    drainedUpstreams: new Set(configuration.drains.filter(row => row.kind === 'upstream').map(row => row.target)),
    drainedZones: new Set(configuration.drains.filter(row => row.kind === 'zone')
      .map(row => row.service === undefined ? row.target : `${row.target}:${row.service}`))
  }
}

/** Creates the index of a world's configuration. */
export function createConfigurationIndex (world: World): ConfigurationIndex {
  let indexedConfiguration: Configuration | undefined
  let lookups: Lookups | undefined

  function current (): Lookups | undefined {
    if (indexedConfiguration !== world.configuration) {
      indexedConfiguration = world.configuration
      lookups = indexedConfiguration === undefined ? undefined : build(indexedConfiguration)
    }
    return lookups
  }

  return {
    service: id => current()?.services.get(id),
    zone: id => current()?.zones.get(id),
    rule: service => current()?.rules.get(service),
    instancesInRegion: region => current()?.instancesByRegion.get(region) ?? 0,
    linkMbitPerSecond: (from, to) => current()?.links.get(`${from}>${to}`),
    isDrained: upstream => {
      const index = current()
      if (index === undefined) return false
      if (index.drainedUpstreams.size > 0 && index.drainedUpstreams.has(upstream.id)) return true
      if (index.drainedZones.size === 0) return false
      return index.drainedZones.has(upstream.zone) || index.drainedZones.has(`${upstream.zone}:${upstream.service}`)
    }
  }
}
