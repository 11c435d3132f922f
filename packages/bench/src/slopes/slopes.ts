/**
 * Measures memory, CPU time and message sizes of an entry instance's state against the number of client blocks, sites
 * and peers. A site is an entry of `places` in the configuration: a zone that hosts a service.
 */
import type { BlockTable, Change, Configuration, Heartbeat, ListedInstance } from '@arbutustray/core'
import type { Point, Slope } from './measure.js'
import { create, toBinary } from '@bufbuild/protobuf'
import {
  applyChanges, createBlockTableBuilder, createConfigurationSystem, createMembershipSystem, createWorld, lookup
} from '@arbutustray/core'
import { toHeartbeatMessage } from '@arbutustray/entry'
import { HeartbeatSchema } from '@arbutustray/protocol'
import { createRandom } from '../policy/random.js'
import { fitSlope, measureMicrosecondsPerCall, measureRetainedBytes } from './measure.js'
import { DESIGN_SIZE, createSampleBlock, createSampleConfiguration, createSampleList } from './sample-data.js'

const SEED = 20261204
const MS_PER_SECOND = 1_000
const TICKS_PER_SECOND = 100
/** Heartbeats that an instance receives each second, as many as it sends. */
const HEARTBEATS_RECEIVED_PER_SECOND = 6
const SIZE_FRACTIONS = [0.1, 0.5, 1]

export interface BlockCosts {
  readonly bytesPerClientBlock: number
  readonly tableBytes: number
  /** Time to add all blocks. Adding can be split over many turns of the event loop. */
  readonly addMs: number
  /** Time of the final build, which blocks the event loop. */
  readonly buildMs: number
  /** Searches of the table per second on one core. */
  readonly findsPerSecond: number
}

export interface SiteCosts {
  /** Serialized configuration, in bytes. */
  readonly wireBytes: Slope
  readonly heapBytes: Slope
  /** CPU time to apply one change, in microseconds. */
  readonly applyMicroseconds: Slope
  /** Size of one change, in bytes. */
  readonly changeBytes: number
}

export interface PeerCosts {
  readonly heapBytes: Slope
  /** CPU time of ticks and heartbeats per second, in microseconds. */
  readonly membershipMicrosecondsPerSecond: Slope
  /** CPU time to process the platform's instance list once, in microseconds. */
  readonly listMicroseconds: Slope
  readonly listBytes: Slope
  /** CPU time of one look-up with all client blocks loaded, in microseconds. */
  readonly lookupMicroseconds: Slope
  readonly heartbeatBytes: number
}

const SELF = { id: 'entry-0', zone: 'zone-0', address: '10.0.0.1:8080', peerAddress: '10.0.0.1:8081', incarnation: 'a1b2c3d4' }

/** Builds the table of all client blocks and measures its size and speed. */
export async function measureBlocks (): Promise<{ readonly costs: BlockCosts, readonly table: BlockTable }> {
  const random = createRandom(SEED)
  const startedAt = performance.now()
  let addedAt = startedAt
  let buildMs = 0
  const { value: table, bytes } = await measureRetainedBytes(() => {
    const builder = createBlockTableBuilder()
    for (let index = 0; index < DESIGN_SIZE.clientBlocks; index += 1) {
      builder.add(createSampleBlock(random), { zone: `zone-${index % DESIGN_SIZE.zones}`, tenant: `tenant-${index % 40}` })
    }
    addedAt = performance.now()
    const built = builder.build()
    buildMs = performance.now() - addedAt
    return built
  })
  const clients = Array.from({ length: 4_096 }, () => createSampleBlock(random).replace('.0/24', '.7'))
  const find = measureMicrosecondsPerCall(index => { table.findOrigin(clients[index % clients.length]!) })
  return {
    costs: {
      bytesPerClientBlock: bytes / DESIGN_SIZE.clientBlocks,
      tableBytes: table.bytes,
      addMs: addedAt - startedAt,
      buildMs,
      findsPerSecond: 1e6 / find
    },
    table
  }
}

function createChange (version: number): Change {
  return {
    version,
    changeId: `change-${version.toString().padStart(12, '0')}`,
    actor: 'operator@example.org',
    reason: 'planned maintenance of one upstream',
    at: 1_800_000_000_000,
    operations: [{ table: 'drains', put: { kind: 'upstream', target: `upstream-${version}` } }]
  }
}

function measureApply (configuration: Configuration): number {
  let current = configuration
  return measureMicrosecondsPerCall(() => {
    const next = applyChanges({ ...current, drains: [] }, [createChange(current.version + 1)])
    current = next._unsafeUnwrap()
  })
}

interface SiteMeasurement {
  readonly units: number
  readonly wire: number
  readonly bytes: number
  readonly apply: number
}

/** Measures costs against the number of sites. */
export async function measureSites (): Promise<SiteCosts> {
  const sizes = SIZE_FRACTIONS.map(fraction => Math.round(fraction * DESIGN_SIZE.sites))
  const measured: SiteMeasurement[] = []
  for (const units of sizes) {
    const { value, bytes } = await measureRetainedBytes(() => createSampleConfiguration(units))
    measured.push({ units, wire: JSON.stringify(value).length, bytes, apply: measureApply(value) })
  }
  const slope = (read: (row: SiteMeasurement) => number): Slope =>
    fitSlope(measured.map((row): Point => ({ units: row.units, cost: read(row) })))
  return {
    wireBytes: slope(row => row.wire),
    heapBytes: slope(row => row.bytes),
    applyMicroseconds: slope(row => row.apply),
    changeBytes: JSON.stringify(createChange(1)).length
  }
}

function createHeartbeat (entry: ListedInstance, sightings: readonly ListedInstance[]): Heartbeat {
  return {
    instanceId: entry.id,
    incarnation: 'a1b2c3d4',
    zone: entry.zone,
    address: entry.address,
    peerAddress: entry.peerAddress!,
    state: 'live',
    configurationVersion: 1,
    headroom: [{ service: 'service-0', free: 20, slots: 54, queued: 0 }, { service: 'service-1', free: 9, slots: 18, queued: 0 }],
    sightings: sightings.map(row => ({
      instanceId: row.id,
      incarnation: 'a1b2c3d4',
      zone: row.zone,
      address: row.address,
      peerAddress: row.peerAddress!,
      state: 'live',
      ageMs: 500
    })),
    leavingUpstreams: []
  }
}

function heartbeatBytes (): number {
  const [entry, ...others] = createSampleList(9)
  return toBinary(HeartbeatSchema, create(HeartbeatSchema, toHeartbeatMessage(createHeartbeat(entry!, others)))).byteLength
}

interface PeerMeasurement {
  readonly units: number
  readonly bytes: number
  readonly list: number
  readonly listBytes: number
  readonly membership: number
  readonly lookup: number
}

async function measurePeersAt (units: number, configuration: Configuration, table: BlockTable): Promise<PeerMeasurement> {
  const entries = createSampleList(units)
  const { value, bytes } = await measureRetainedBytes(() => {
    const world = createWorld(SELF)
    const membership = createMembershipSystem(world)
    world.configuration = configuration
    membership.handlers['list-received']?.({ type: 'list-received', entries }, 0)
    return { world, membership }
  })
  const { world, membership } = value
  const configurations = createConfigurationSystem(world)
  let now = 0
  const list = measureMicrosecondsPerCall(() => {
    membership.handlers['list-received']?.({ type: 'list-received', entries }, now)
  })
  const receiveHeartbeat = (index: number): void => {
    const entry = entries[1 + index % (units - 1)]!
    const sightings = Array.from({ length: 8 }, (_, offset) => entries[1 + (index + offset) % (units - 1)]!)
    const event = { type: 'heartbeat-received', heartbeat: createHeartbeat(entry, sightings) } as const
    membership.handlers['heartbeat-received']?.(event, now)
    configurations.handlers['heartbeat-received']?.(event, now)
  }
  for (let index = 0; index < units; index += 1) receiveHeartbeat(index)
  const membershipMicroseconds = measureMicrosecondsPerCall(index => {
    for (let heard = 0; heard < HEARTBEATS_RECEIVED_PER_SECOND; heard += 1) receiveHeartbeat(index * HEARTBEATS_RECEIVED_PER_SECOND + heard)
    for (let tick = 0; tick < TICKS_PER_SECOND; tick += 1) {
      now += MS_PER_SECOND / TICKS_PER_SECOND
      membership.handlers.tick?.({ type: 'tick' }, now)
    }
  })
  world.clientBlocks = table
  for (let index = 0; index < units; index += 1) receiveHeartbeat(index)
  const random = createRandom(SEED)
  const clients = Array.from({ length: 4_096 }, () => createSampleBlock(random).replace('.0/24', '.7'))
  const lookups = measureMicrosecondsPerCall(index => {
    lookup(world, { service: 'service-0', client: clients[index % clients.length]! })
  })
  return { units, bytes, list, listBytes: JSON.stringify(entries).length, membership: membershipMicroseconds, lookup: lookups }
}

/** Measures costs against the number of entry instances. */
export async function measurePeers (table: BlockTable): Promise<PeerCosts> {
  const configuration = createSampleConfiguration(DESIGN_SIZE.sites)
  const rows: PeerMeasurement[] = []
  for (const fraction of SIZE_FRACTIONS) {
    rows.push(await measurePeersAt(Math.round(fraction * DESIGN_SIZE.instances), configuration, table))
  }
  const slope = (read: (row: PeerMeasurement) => number): Slope => fitSlope(rows.map(row => ({ units: row.units, cost: read(row) })))
  return {
    heapBytes: slope(row => row.bytes),
    membershipMicrosecondsPerSecond: slope(row => row.membership),
    listMicroseconds: slope(row => row.list),
    listBytes: slope(row => row.listBytes),
    lookupMicroseconds: slope(row => row.lookup),
    heartbeatBytes: heartbeatBytes()
  }
}
