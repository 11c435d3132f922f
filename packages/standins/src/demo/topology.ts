/**
 * Deployment of the association that the demo starts on loopback ports: 35 + 12 upstreams and 7 entry instances in
 * 6 zones, which is its current size.
 */
import type { ListedInstance, Operation } from '@arbutustray/core'
import type { ConfigurationFile } from '@arbutustray/settings'
import type { UpstreamSpec } from '../upstream/upstream-options.js'
import { configurationFileSchema, formatSettingsError, parseSettings } from '@arbutustray/settings'
import { once } from 'node:events'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:net'

/** An entry instance of the demo; addresses are `host:port`. */
export interface EntryInstance {
  readonly id: string
  readonly zone: string
  readonly caller: string
  readonly operator: string
  readonly peer: string
}

/** Number and capacity of the association's upstreams by service, from section 1.7 of the design page. */
const UPSTREAM_CAPACITIES: Readonly<Record<string, { readonly count: number, readonly slots: number, readonly connections: number }>> = {
  token: { count: 35, slots: 9, connections: 400 },
  ledger: { count: 12, slots: 3, connections: 400 }
}

const PORTS_PER_INSTANCE = 3

/** Reads the example configuration of the association. */
export function readConfiguration (): ConfigurationFile {
  const url = new URL('../../../../examples/configuration/association.jsonc', import.meta.url)
  return parseSettings(readFileSync(url, 'utf8'), 'association.jsonc', configurationFileSchema)
    .match(file => file, error => { throw new Error(formatSettingsError(error)) })
}

/** Returns the operations that create the whole configuration. */
export function buildCreateOperations (file: ConfigurationFile): readonly Operation[] {
  return Object.entries(file).flatMap(([table, rows]) => (rows ?? []).map(put => ({ table, put }) as Operation))
}

/** Creates the specifications of a service's upstreams, spread evenly over the zones. */
export function createUpstreamSpecs (service: string, zones: readonly string[]): readonly UpstreamSpec[] {
  const size = UPSTREAM_CAPACITIES[service]
  if (size === undefined) throw new Error(`no upstreams of service ${service}`)
  return Array.from({ length: size.count }, (_, index) => {
    const zone = zones[index % zones.length] ?? ''
    const id = `${service}-${zone}-${Math.floor(index / zones.length) + 1}`
    return { id, service, zone, slots: size.slots, connections: size.connections, seed: index + 1 }
  })
}

/** Finds free ports by opening and closing them. All are open at the same time, so that they differ. */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const servers = await Promise.all(Array.from({ length: count }, async () => {
    const server = createServer().listen(0, '127.0.0.1')
    await once(server, 'listening')
    return server
  }))
  const ports = servers.map(server => (server.address() as { readonly port: number }).port)
  await Promise.all(servers.map(async server => await once(server.close(), 'close')))
  return ports
}

/** Creates as many entry instances in each zone as the configuration states, with free ports. */
export async function createEntryInstances (file: ConfigurationFile): Promise<readonly EntryInstance[]> {
  const named = (file.zones ?? []).flatMap(zone =>
    Array.from({ length: zone.instances }, (_, index) => ({ id: `entry-${zone.id}${'abc'[index]}`, zone: zone.id })))
  const ports = await findFreePorts(PORTS_PER_INSTANCE * named.length)
  return named.map((instance, index) => {
    const [caller, operator, peer] = ports.slice(PORTS_PER_INSTANCE * index).map(port => `127.0.0.1:${port}`)
    return { ...instance, caller: caller ?? '', operator: operator ?? '', peer: peer ?? '' }
  })
}

/** Converts an entry instance to its entry in the platform's instance list. */
export function toListedInstance (instance: EntryInstance): ListedInstance {
  const { id, zone, caller, peer } = instance
  return { id, role: 'entry', zone, address: caller, peerAddress: peer, state: 'live' }
}
