/**
 * Generates configurations, instance lists and client blocks of a given size.
 */
import type { Configuration, ListedInstance, Service } from '@arbutustray/core'
import type { Random } from '../policy/random.js'
import { EMPTY_CONFIGURATION } from '@arbutustray/core'

/** The sizes that the system is designed for: those expected in two years. */
export const DESIGN_SIZE = {
  instances: 3_700,
  clientBlocks: 860_000,
  sites: 3_000,
  regions: 20,
  zones: 80,
  changesPerDay: 19_000,
  lookupsPerSecond: 18_000_000
} as const

const MIN_SERVICES = 20
const BYTE_VALUES = 256

function createService (index: number): Service {
  return {
    id: `service-${index}`,
    slots: 9,
    connections: 400,
    deadlineMs: 2_000,
    maxBodyBytes: 1_048_576,
    refusalHeader: 'x-load-shed',
    coldStartMs: 5_000,
    routes: [
      { method: 'GET', prefix: '/', kind: 'repeatable', length: 'short' },
      { method: 'POST', prefix: '/purchases', kind: 'protected', length: 'short' }
    ]
  }
}

/** Creates a configuration with the given number of places, spread over the zones of the design size. */
export function createSampleConfiguration (places: number): Configuration {
  const { regions, zones, instances } = DESIGN_SIZE
  const services = Array.from({ length: Math.max(MIN_SERVICES, Math.ceil(places / zones)) }, (_, index) => createService(index))
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    regions: Array.from({ length: regions }, (_, index) => ({ id: `region-${index}` })),
    zones: Array.from({ length: zones }, (_, index) => (
      { id: `zone-${index}`, region: `region-${index % regions}`, instances: Math.ceil(instances / zones) })),
    services,
    places: Array.from({ length: places }, (_, index) => (
      { service: services[Math.floor(index / zones)]!.id, zone: `zone-${index % zones}` })),
    rules: services.map(service => ({ service: service.id, scope: 'region' as const, shiftCap: 0.2, longShare: 0.3 }))
  }
}

/** Creates a list of entry instances, spread over the zones. */
export function createSampleList (instances: number): readonly ListedInstance[] {
  return Array.from({ length: instances }, (_, index) => ({
    id: `entry-${index}`,
    role: 'entry' as const,
    zone: `zone-${index % DESIGN_SIZE.zones}`,
    address: `10.${index >> 8}.${index % BYTE_VALUES}.1:8080`,
    peerAddress: `10.${index >> 8}.${index % BYTE_VALUES}.1:8081`,
    state: 'live' as const
  }))
}

/** Draws a block of 256 addresses at a random position of the address space. */
export function createSampleBlock (random: Random): string {
  const byte = (): number => Math.min(BYTE_VALUES - 1, Math.floor(random.uniform() * BYTE_VALUES))
  return `${byte()}.${byte()}.${byte()}.0/24`
}
