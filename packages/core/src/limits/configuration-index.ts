/**
 * Look-ups by key in the current configuration. The index is rebuilt when the world holds another configuration.
 */
import type { AvailabilityZone, Configuration, Rule, Service } from '../configuration.js'
import type { Upstream, World } from '../tables.js'

/** Rows of the current configuration by key. Every function gives `undefined` or an empty result without one. */
export interface ConfigurationIndex {
  readonly service: (id: string) => Service | undefined
  readonly zone: (id: string) => AvailabilityZone | undefined
  readonly rule: (service: string) => Rule | undefined
  /** Configured entry instances of all zones of a region. */
  readonly instancesInRegion: (region: string) => number
  /** Rate of the link between two regions in megabits per second. */
  readonly linkMbitPerSecond: (from: string, to: string) => number | undefined
  /** Whether a drain names the upstream, or its zone for all services or for the upstream's service. */
  readonly isDrained: (upstream: Upstream) => boolean
}

interface Lookups {
  readonly services: ReadonlyMap<string, Service>
  readonly zones: ReadonlyMap<string, AvailabilityZone>
  readonly rules: ReadonlyMap<string, Rule>
  readonly instancesByRegion: ReadonlyMap<string, number>
  readonly links: ReadonlyMap<string, number>
  readonly drainedUpstreams: ReadonlySet<string>
  readonly drainedZones: ReadonlySet<string>
}

const byId = <T extends { readonly id: string }> (rows: readonly T[]): Map<string, T> =>
  new Map(rows.map(row => [row.id, row]))

function build (configuration: Configuration): Lookups {
  const instances = new Map<string, number>()
  for (const zone of configuration.zones) {
    instances.set(zone.region, (instances.get(zone.region) ?? 0) + zone.instances)
  }
  return {
    services: byId(configuration.services),
    zones: byId(configuration.zones),
    rules: new Map(configuration.rules.map(row => [row.service, row])),
    instancesByRegion: instances,
    links: new Map(configuration.links.map(row => [`${row.from}>${row.to}`, row.mbitPerSecond])),
    drainedUpstreams: new Set(configuration.drains.filter(row => row.kind === 'upstream').map(row => row.target)),
    drainedZones: new Set(configuration.drains.filter(row => row.kind === 'zone')
      .map(row => row.service === undefined ? row.target : `${row.target}:${row.service}`))
  }
}

/** Creates the index over a world. */
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
