/**
 * Worlds, configurations and table rows for the tests of the limits.
 */
import type { Configuration, Instance, Upstream, World } from '../../src/index.js'
import { createWorld, EMPTY_CONFIGURATION } from '../../src/index.js'

/** A configuration of one region and the service `s`. `zones` holds the configured number of instances by zone. */
export function configurationOf (zones: { readonly [zone: string]: number }, slots = 9, coldStartMs = 0): Configuration {
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    regions: [{ id: 'r1' }],
    zones: Object.entries(zones).map(([id, instances]) => ({ id, region: 'r1', instances })),
    services: [{
      id: 's', slots, connections: 400, deadlineMs: 1_000, maxBodyBytes: 0, refusalHeader: 'x-load-shed', coldStartMs, routes: []
    }]
  }
}

export function worldOf (configuration: Configuration, id = 'i1', zone = 'z1'): World {
  const world = createWorld({ id, zone, address: '', peerAddress: '', incarnation: id })
  world.configuration = configuration
  return world
}

export function addUpstream (world: World, id: string, changes: Partial<Upstream> = {}): void {
  world.upstreams.set(id, { id, service: 's', zone: 'z1', address: '', state: 'live', listedAt: -Infinity, ...changes })
}

export function addInstance (world: World, id: string, changes: Partial<Instance> = {}): void {
  world.instances.set(id, {
    id, incarnation: id, zone: 'z1', address: '', peerAddress: '', state: 'live', heardAt: 0, configurationVersion: 1, headroom: new Map(), headroomAt: 0, ...changes
  })
}
