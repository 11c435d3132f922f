/**
 * Index of the zones that accept new work of a service. It is consulted several times per request, so it is built once
 * for each configuration.
 */
import type { Configuration } from '../configuration.js'
import type { World } from '../tables.js'
import { undrainedZones } from '../configuration/traffic.js'

/** The zones that host a service and are not drained for it. */
export interface EligibleZones {
  /** Whether the zone accepts new work of the service; `false` before a configuration is received. */
  readonly includes: (service: string, zone: string) => boolean
}

/** Creates the index. It follows `world.configuration`. */
export function createEligibleZones (world: World): EligibleZones {
  let indexedConfiguration: Configuration | undefined
  let zonesByService = new Map<string, ReadonlySet<string>>()
  return {
    includes: (service, zone) => {
      const { configuration } = world
      if (configuration === undefined) return false
      if (indexedConfiguration !== configuration) {
        indexedConfiguration = configuration
        zonesByService = new Map(configuration.services.map(row => [row.id, new Set(undrainedZones(configuration, row.id))]))
      }
      return zonesByService.get(service)?.has(zone) === true
    }
  }
}
