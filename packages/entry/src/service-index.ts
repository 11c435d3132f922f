/**
 * Indexes the services of a configuration by id, since each request looks its service up several times.
 */
import type { Configuration, Service } from '@arbutustray/core'

const NO_SERVICES: ReadonlyMap<string, Service> = new Map()

const indexes = new WeakMap<Configuration, ReadonlyMap<string, Service>>()

/** Returns the services by id. The index is built once for each configuration and cached. */
export function indexServices (configuration: Configuration | undefined): ReadonlyMap<string, Service> {
  if (configuration === undefined) return NO_SERVICES
  let index = indexes.get(configuration)
  if (index === undefined) {
    index = new Map(configuration.services.map(service => [service.id, service]))
    indexes.set(configuration, index)
  }
  return index
}
