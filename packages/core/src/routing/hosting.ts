/**
 * Which zones take new work of a service. Built once per configuration object, because each request asks.
 */
import type { Configuration } from '../configuration.js'
import type { World } from '../tables.js'
import { openZones } from '../configuration/traffic.js'

/** Zones that host services and are not drained. */
export interface Hosting {
  readonly accepts: (service: string, zone: string) => boolean
}

/** Creates the index over a world. */
export function createHosting (world: World): Hosting {
  let source: Configuration | undefined
  let open = new Map<string, ReadonlySet<string>>()
  return {
    accepts: (service, zone) => {
      const { configuration } = world
      if (configuration === undefined) return false
      if (source !== configuration) {
        source = configuration
        open = new Map(configuration.services.map(row => [row.id, new Set(openZones(configuration, row.id))]))
      }
      return open.get(service)?.has(zone) === true
    }
  }
}
