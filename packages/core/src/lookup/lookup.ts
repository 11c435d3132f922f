/**
 * Service discovery for clients: ranks the entry instances that a client should use for a service. Reads only this
 * instance's tables, so it works without calls to the platform or to peers.
 */
import type { Result } from 'neverthrow'
import type { LookupResult, QueryError } from '../create-engine.js'
import type { World } from '../tables.js'
import type { LookupInstance } from './instance-index.js'
import { err, ok } from 'neverthrow'
import { hash32 } from '../hash.js'
import { resolveClientOrigin } from './client-origin.js'
import { MAX_LOOKUP_INSTANCES, findLookupTiers } from './instance-index.js'

/** Time for which clients may cache a result. A planned stop waits at least this long before it refuses requests. */
export const LOOKUP_TTL_MS = 5_000

/**
 * Returns up to `MAX_LOOKUP_INSTANCES` instances, nearest first. Within a tier the starting point depends on the
 * client's address, which spreads clients over the instances. Errors: `no-configuration`, `unknown-service`.
 */
export function lookup (
  world: World, query: { readonly service: string, readonly client?: string }
): Result<LookupResult, QueryError> {
  const { configuration } = world
  if (configuration === undefined) return err({ reason: 'no-configuration' })
  if (!configuration.services.some(service => service.id === query.service)) return err({ reason: 'unknown-service' })
  const { zone } = resolveClientOrigin(world, query.client)
  const instances: LookupInstance[] = []
  for (const tier of findLookupTiers(world, configuration, query.service, zone)) {
    if (tier.length === 0) continue
    const offset = hash32(query.client ?? '') % tier.length
    for (let index = 0; index < tier.length && instances.length < MAX_LOOKUP_INSTANCES; index += 1) {
      instances.push(tier[(index + offset) % tier.length] as LookupInstance)
    }
  }
  return ok({ service: query.service, version: configuration.version, ttlMs: LOOKUP_TTL_MS, instances })
}
