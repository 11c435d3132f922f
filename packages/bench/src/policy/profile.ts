/**
 * Profiles of the two users at their current sizes: zones, network delays, services and request mix.
 */
import type { BlockTable, Configuration, LengthClass, RequestKind, Route, Service } from '@arbutustray/core'
import { EMPTY_CONFIGURATION, createBlockTableBuilder } from '@arbutustray/core'

/** A class of requests in the mix of a service. */
export interface RequestClass {
  readonly name: string
  readonly service: string
  readonly method: string
  readonly path: string
  readonly kind: RequestKind
  readonly length: LengthClass
  /** Share of the requests of its service, 0 to 1. */
  readonly share: number
  /** Mean of the exponential service time, in milliseconds. */
  readonly meanMs: number
  readonly bytes: number
}

/** A service and the number of its upstreams. */
export interface ServiceSize {
  readonly service: Service
  readonly upstreams: number
}

/** A user's deployment and traffic. Delays are one-way and in milliseconds. */
export interface Profile {
  readonly name: 'association' | 'consortium'
  readonly regions: readonly string[]
  /** Zone names, two for each region in the order of `regions`. */
  readonly zones: readonly string[]
  /** The zone of each entry instance. */
  readonly instanceZones: readonly string[]
  readonly interZoneDelayMs: number
  readonly interRegionDelayMs: number
  readonly clientDelayMs: number
  readonly main: ServiceSize
  readonly upload: ServiceSize
  readonly tenants: readonly string[]
  readonly requestClasses: readonly RequestClass[]
}

/** Mean service time of short requests, in milliseconds. */
export const SHORT_MEAN_MS = 20
/** Mean service time of uploads divided by that of short requests. */
const LONG_TO_SHORT_RATIO = 30
const LONG_MEAN_MS = SHORT_MEAN_MS * LONG_TO_SHORT_RATIO
const MIB = 1_048_576
const LINK_MBIT_PER_SECOND = 4_000
const REGION_SHIFT_CAP = 0.5
const LONG_SHARE = 0.34
/** Slots of an upstream of the upload service. */
const UPLOAD_SLOTS = 3

const SHORT_ROUTES: readonly Route[] = [
  { method: 'GET', prefix: '/', kind: 'repeatable', length: 'short' },
  { method: 'POST', prefix: '/purchases', kind: 'protected', length: 'short' }
]

function createService (id: string, slots: number, connections: number): Service {
  const acceptsShort = slots > UPLOAD_SLOTS
  return {
    id,
    slots,
    connections,
    deadlineMs: acceptsShort ? 2_000 : 30_000,
    maxBodyBytes: 16 * MIB,
    refusalHeader: 'x-load-shed',
    coldStartMs: 5_000,
    routes: [...(acceptsShort ? SHORT_ROUTES : []), { method: 'PUT', prefix: '/', kind: 'plain', length: 'long' }]
  }
}

function createRequestClasses (main: string, upload: string): readonly RequestClass[] {
  const short = { service: main, length: 'short', meanMs: SHORT_MEAN_MS, bytes: 500 } as const
  const long = { method: 'PUT', kind: 'plain', length: 'long', meanMs: LONG_MEAN_MS, bytes: MIB } as const
  return [
    { ...short, name: 'check', method: 'GET', path: '/balances', kind: 'repeatable', share: 0.9 },
    { ...short, name: 'purchase', method: 'POST', path: '/purchases', kind: 'protected', share: 0.1 },
    { ...long, name: 'upload', service: upload, path: '/ledgers', share: 1 }
  ]
}

function createZones (regions: readonly string[]): readonly string[] {
  return regions.flatMap(region => [`${region}-1`, `${region}-2`])
}

function createProfile (
  name: Profile['name'],
  regions: readonly string[],
  delays: Pick<Profile, 'interZoneDelayMs' | 'interRegionDelayMs'>,
  main: ServiceSize,
  upload: ServiceSize,
  tenants: readonly string[]
): Profile {
  const zones = createZones(regions)
  return {
    name,
    regions,
    zones,
    instanceZones: [zones[0]!, ...zones],
    ...delays,
    clientDelayMs: 1,
    main,
    upload,
    tenants,
    requestClasses: createRequestClasses(main.service.id, upload.service.id)
  }
}

export const ASSOCIATION = createProfile(
  'association',
  ['zagreb', 'split', 'rijeka'],
  { interZoneDelayMs: 1.5, interRegionDelayMs: 20 },
  { service: createService('token', 9, 400), upstreams: 35 },
  { service: createService('ledger', 3, 400), upstreams: 12 },
  ['members']
)

export const CONSORTIUM = createProfile(
  'consortium',
  ['orkhon', 'selenge', 'kherlen'],
  { interZoneDelayMs: 0.5, interRegionDelayMs: 35 },
  { service: createService('reports', 9, 330), upstreams: 20 },
  { service: createService('evidence', 3, 330), upstreams: 12 },
  ['firm-a', 'firm-b', 'firm-c']
)

/** Returns the region of a zone. */
export function regionOf (profile: Profile, zone: string): string {
  return profile.regions[Math.floor(profile.zones.indexOf(zone) / 2)]!
}

/** Returns the one-way delay between two zones in milliseconds. */
export function delayMs (profile: Profile, from: string, to: string): number {
  const IN_ZONE_DELAY_MS = 0.1
  if (from === to) return IN_ZONE_DELAY_MS
  return regionOf(profile, from) === regionOf(profile, to) ? profile.interZoneDelayMs : profile.interRegionDelayMs
}

/** Returns an address in the block of the clients of a zone and tenant. */
export function clientAddress (profile: Profile, zone: string, tenant: string): string {
  return `10.${profile.zones.indexOf(zone)}.${profile.tenants.indexOf(tenant)}.0`
}

/** Builds the block table that maps client addresses to zone and tenant. */
export function createClientBlocks (profile: Profile): BlockTable {
  const builder = createBlockTableBuilder()
  for (const zone of profile.zones) {
    for (const tenant of profile.tenants) builder.add(`${clientAddress(profile, zone, tenant)}/24`, { zone, tenant })
  }
  return builder.build()
}

/** Creates the configuration of the user's deployment. */
export function createConfiguration (profile: Profile): Configuration {
  const services = [profile.main.service, profile.upload.service]
  return {
    ...EMPTY_CONFIGURATION,
    version: 1,
    regions: profile.regions.map(id => ({ id })),
    zones: profile.zones.map(id => ({
      id,
      region: regionOf(profile, id),
      instances: profile.instanceZones.filter(zone => zone === id).length
    })),
    services,
    places: services.flatMap(service => profile.zones.map(zone => ({ service: service.id, zone }))),
    rules: services.map(service => ({
      service: service.id,
      scope: 'region' as const,
      shiftCap: REGION_SHIFT_CAP,
      longShare: service === profile.upload.service ? 1 : LONG_SHARE
    })),
    links: profile.regions.flatMap(from => profile.regions
      .filter(to => to !== from)
      .map(to => ({ from, to, mbitPerSecond: LINK_MBIT_PER_SECOND })))
  }
}
