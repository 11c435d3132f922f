/**
 * Instances, heartbeats and a configuration that many tests use.
 */
import type { Configuration, Service } from '../src/configuration.js'
import type { ListedInstance } from '../src/event.js'
import type { Heartbeat } from '../src/heartbeat.js'
import type { LocalInstance } from '../src/tables.js'
import { EMPTY_CONFIGURATION } from '../src/configuration.js'

export function createLocalInstance (id: string, zone: string): LocalInstance {
  return { id, zone, address: `${id}:1`, peerAddress: `${id}:2`, incarnation: `${id}-a` }
}

export function listedEntryInstance (id: string, zone: string, state: 'live' | 'leaving' = 'live'): ListedInstance {
  return { id, role: 'entry', zone, address: `${id}:1`, peerAddress: `${id}:2`, state }
}

export function listedUpstream (id: string, zone: string, state: 'live' | 'leaving' = 'live'): ListedInstance {
  return { id, role: 'upstream', service: 'tokens', zone, address: `${id}:1`, state }
}

export function createHeartbeat (sender: LocalInstance, fields: Partial<Heartbeat> = {}): Heartbeat {
  const { id: instanceId, incarnation, zone, address, peerAddress } = sender
  const rest = { state: 'live', configurationVersion: 0, headroom: [], sightings: [], leavingUpstreams: [] } as const
  return { instanceId, incarnation, zone, address, peerAddress, ...rest, ...fields }
}

export const SERVICE: Service = {
  id: 'tokens',
  slots: 9,
  connections: 400,
  deadlineMs: 2_000,
  maxBodyBytes: 65_536,
  refusalHeader: 'x-load-shed',
  coldStartMs: 10_000,
  routes: [{ method: 'POST', prefix: '/purchases', kind: 'protected', length: 'short' }]
}

/** Two regions of two zones each; zones z1, z2 and z3 host the service. */
export const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  version: 1,
  regions: [{ id: 'east' }, { id: 'west' }],
  zones: ['z1', 'z2', 'z3', 'z4'].map((id, index) => ({ id, region: index < 2 ? 'east' : 'west', instances: 2 })),
  services: [SERVICE],
  places: ['z1', 'z2', 'z3'].map(zone => ({ service: 'tokens', zone })),
  rules: [{ service: 'tokens', scope: 'region', shiftCap: 0.25, longShare: 0.5 }]
}
