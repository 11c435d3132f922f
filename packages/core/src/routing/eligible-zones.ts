/**
 * Which zones take new work of a service. Built once per configuration object, because each request asks.
 */
import type { Configuration } from '../configuration.js'
import type { World } from '../tables.js'
import { openZones } from '../configuration/traffic.js'

/** Zones that host services and are not drained. */
export interface EligibleZones {
  readonly includes: (service: string, zone: string) => boolean
}

/** Creates the index over a world. */
export function createEligibleZones (world: World): EligibleZones {
  let indexedConfiguration: Configuration | undefined
  let zonesByService = new Map<string, ReadonlySet<string>>()
  return {
    includes: (service, zone) => {
      const { configuration } = world
      if (configuration === undefined) return false
      if (indexedConfiguration !== configuration) {
        indexedConfiguration = configuration
        zonesByService = new Map(configuration.services.map(row => [row.id, new Set(openZones(configuration, row.id))]))
      }
      return zonesByService.get(service)?.has(zone) === true
    }
  }
}
