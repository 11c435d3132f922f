/**
 * Where a client belongs: the zone that counts as the origin of its traffic, and its tenant.
 */
import type { World } from '../tables.js'
import type { Origin } from './block-table.js'

/** Tenant of clients that are in no block. */
export const DEFAULT_TENANT = 'default'

/**
 * Origin by the client's block. A client without an address, outside all blocks, or in a block of a zone that is no
 * longer configured belongs to this instance's zone; the tenant of its block, if any, still applies.
 */
export function clientOrigin (world: World, client: string | undefined): Origin {
  const found = client === undefined ? undefined : world.clientBlocks?.find(client)
  if (found === undefined) return { zone: world.self.zone, tenant: DEFAULT_TENANT }
  const configured = world.configuration?.zones.some(zone => zone.id === found.zone) ?? true
  return configured ? found : { zone: world.self.zone, tenant: found.tenant }
}
