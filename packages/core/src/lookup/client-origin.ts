/**
 * Resolves a client address to the zone that its traffic is attributed to and to its tenant.
 */
import type { World } from '../tables.js'
import type { ClientOrigin } from './block-table.js'

/** Tenant of clients whose address is in no block. */
export const DEFAULT_TENANT = 'default'

/**
 * Returns the origin of the client's block. If the address is unknown or in no block, the origin is this instance's
 * zone and the default tenant. If the block's zone is no longer configured, this instance's zone replaces it.
 */
export function resolveClientOrigin (world: World, client: string | undefined): ClientOrigin {
  const found = client === undefined ? undefined : world.clientBlocks?.findOrigin(client)
  if (found === undefined) return { zone: world.self.zone, tenant: DEFAULT_TENANT }
  const configured = world.configuration?.zones.some(zone => zone.id === found.zone) ?? true
  return configured ? found : { zone: world.self.zone, tenant: found.tenant }
}
