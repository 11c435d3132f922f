/**
 * The configuration arranged for the questions that each request asks. Built once per configuration object.
 */
import type { Configuration, Rule, Service } from '../configuration.js'

/** Lookups that need no scan of the configuration. */
export interface ConfigurationIndex {
  readonly version: number
  readonly services: ReadonlyMap<string, Service>
  readonly rules: ReadonlyMap<string, Rule>
  /** Region of each zone. */
  readonly regions: ReadonlyMap<string, string>
  /** Whether new work of the service may go to the zone: it hosts the service and is not drained. */
  accepts (service: string, zone: string): boolean
}

/** Builds the index of a configuration. */
export function createConfigurationIndex (configuration: Configuration): ConfigurationIndex {
  const places = new Set<string>()
  for (const { service, zone } of configuration.places) places.add(`${service}@${zone}`)
  for (const drain of configuration.drains) {
    if (drain.kind !== 'zone') continue
    for (const { service, zone } of configuration.places) {
      if (zone === drain.target && (drain.service ?? service) === service) places.delete(`${service}@${zone}`)
    }
  }
  return {
    version: configuration.version,
    services: new Map(configuration.services.map(service => [service.id, service])),
    rules: new Map(configuration.rules.map(rule => [rule.service, rule])),
    regions: new Map(configuration.zones.map(zone => [zone.id, zone.region])),
    accepts: (service, zone) => places.has(`${service}@${zone}`)
  }
}
