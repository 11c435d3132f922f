/**
 * Computes CPU time, memory and traffic of an entry instance at the design size from measured slopes, and compares
 * them with the targets.
 */
import type { BlockCosts, PeerCosts, SiteCosts } from './slopes.js'
import type { Slope } from './measure.js'
import { FLEET_LIST_READS_PER_SECOND, CONFIGURATION_WATCHERS_PER_ZONE } from '@arbutustray/core'
import { DESIGN_SIZE } from './sample-data.js'

/** All measured costs. */
export interface Slopes {
  readonly blocks: BlockCosts
  readonly sites: SiteCosts
  readonly peers: PeerCosts
}

/** One line of the capacity table. */
export interface CapacityRow {
  readonly item: string
  readonly value: number
  readonly unit: string
  /** Largest allowed value, in the same unit. */
  readonly target?: number
}

const SECONDS_PER_DAY = 86_400
const MICROSECONDS_PER_SECOND = 1e6
const MIB = 1_048_576
/** Heartbeats that an instance sends by itself plus answers to received ones, which carry a heartbeat too. */
const HEARTBEATS_SENT_PER_SECOND = 12
/** Reads of the platform's instance list by one instance in a fleet of the design size. */
const LIST_READS_PER_SECOND = FLEET_LIST_READS_PER_SECOND / DESIGN_SIZE.instances
/** Time after which a watch without a change is renewed. */
const WATCH_SECONDS = 25
/** Interval at which an instance that doesn't watch an object reads it. */
const UNWATCHED_READ_SECONDS = 60
const CPU_TARGET_PERCENT = 4.7
const MEMORY_TARGET_MIB = 128
const TRAFFIC_TARGET_BYTES_PER_SECOND = 3_000
const PLATFORM_READS_TARGET_PER_SECOND = 2_000

function costAt (slope: Slope, units: number): number {
  return slope.base + slope.perUnit * units
}

function percentOfCore (microsecondsPerSecond: number): number {
  return 100 * microsecondsPerSecond / MICROSECONDS_PER_SECOND
}

/** CPU time of the control plane work in percent of a core. */
function cpuRows ({ sites, peers }: Slopes): readonly CapacityRow[] {
  const { instances, sites: siteCount, changesPerDay } = DESIGN_SIZE
  const changes = changesPerDay / SECONDS_PER_DAY
  const membership = percentOfCore(costAt(peers.membershipMicrosecondsPerSecond, instances))
  const list = percentOfCore(LIST_READS_PER_SECOND * costAt(peers.listMicroseconds, instances))
  const apply = percentOfCore(changes * costAt(sites.applyMicroseconds, siteCount))
  return [
    { item: 'membership: ticks and heartbeats', value: membership, unit: '% of a core' },
    { item: 'platform list: adopting it', value: list, unit: '% of a core' },
    { item: 'configuration: applying changes', value: apply, unit: '% of a core' },
    { item: 'control in all', value: membership + list + apply, unit: '% of a core', target: CPU_TARGET_PERCENT }
  ]
}

/** Memory of the state in MiB, without the runtime itself. */
function memoryRows ({ blocks, sites, peers }: Slopes): readonly CapacityRow[] {
  const { instances, sites: siteCount, clientBlocks } = DESIGN_SIZE
  const table = blocks.bytesPerClientBlock * clientBlocks / MIB
  const configuration = costAt(sites.heapBytes, siteCount) / MIB
  const members = costAt(peers.heapBytes, instances) / MIB
  return [
    { item: 'client blocks', value: table, unit: 'MiB' },
    { item: 'configuration', value: configuration, unit: 'MiB' },
    { item: 'entry instances', value: members, unit: 'MiB' },
    { item: 'state in all', value: table + configuration + members, unit: 'MiB', target: MEMORY_TARGET_MIB }
  ]
}

/** Control plane traffic that one instance sends or receives, in bytes per second. */
function trafficRows ({ sites, peers }: Slopes): readonly CapacityRow[] {
  const { instances, sites: siteCount, changesPerDay } = DESIGN_SIZE
  const changes = changesPerDay / SECONDS_PER_DAY
  return [
    { item: 'heartbeats sent, without HTTP headers', value: HEARTBEATS_SENT_PER_SECOND * peers.heartbeatBytes, unit: 'B/s', target: TRAFFIC_TARGET_BYTES_PER_SECOND },
    { item: 'configuration by watch at a watcher, whole object for each change', value: changes * costAt(sites.wireBytes, siteCount), unit: 'B/s', target: TRAFFIC_TARGET_BYTES_PER_SECOND },
    { item: 'configuration by changes from a peer', value: changes * sites.changeBytes, unit: 'B/s', target: TRAFFIC_TARGET_BYTES_PER_SECOND },
    { item: 'platform list, entry instances only', value: LIST_READS_PER_SECOND * costAt(peers.listBytes, instances), unit: 'B/s', target: TRAFFIC_TARGET_BYTES_PER_SECOND }
  ]
}

/** Calls to the platform by the whole fleet, per second. */
function platformRows (): readonly CapacityRow[] {
  const { instances, zones, changesPerDay } = DESIGN_SIZE
  const changes = changesPerDay / SECONDS_PER_DAY
  const watchers = zones * CONFIGURATION_WATCHERS_PER_ZONE
  // Watchers hold one watch on the configuration and one on the client blocks. The others read both periodically.
  const watches = watchers * (changes + 2 / WATCH_SECONDS) + (instances - watchers) * 2 / UNWATCHED_READ_SECONDS
  return [
    { item: 'watches and reads of configuration and client blocks by all instances', value: watches, unit: 'calls/s' },
    { item: 'watches that wait at any time', value: 2 * watchers, unit: 'calls' },
    { item: 'reads of the list by all instances', value: instances * LIST_READS_PER_SECOND, unit: 'calls/s' },
    { item: 'platform reads in all', value: watches + instances * LIST_READS_PER_SECOND, unit: 'calls/s', target: PLATFORM_READS_TARGET_PER_SECOND },
    { item: 'platform writes: configuration changes', value: changes, unit: 'calls/s', target: 300 }
  ]
}

function lookupRows ({ peers }: Slopes): readonly CapacityRow[] {
  const { instances, lookupsPerSecond } = DESIGN_SIZE
  const perInstance = lookupsPerSecond / instances
  return [
    { item: 'look-ups for one instance', value: perInstance, unit: '1/s' },
    { item: 'decisions of these look-ups, without HTTP', value: percentOfCore(perInstance * costAt(peers.lookupMicroseconds, instances)), unit: '% of a core' }
  ]
}

/** Computes all rows of the capacity table. */
export function computeCapacity (slopes: Slopes): readonly CapacityRow[] {
  return [
    ...cpuRows(slopes), ...memoryRows(slopes), ...trafficRows(slopes), ...platformRows(), ...lookupRows(slopes)
  ]
}

/** Formats with about three significant digits and no exponent. */
function formatValue (value: number): string {
  const digits = value >= 100 ? 0 : value >= 10 ? 1 : 2
  return value.toFixed(digits)
}

/** Formats the table as Markdown. */
export function formatCapacity (rows: readonly CapacityRow[]): string {
  const lines = rows.map(({ item, value, unit, target }) => {
    const comparison = target === undefined ? '' : value <= target ? `holds (${target})` : `does not hold yet (${target})`
    return `| ${item} | ${formatValue(value)} | ${unit} | ${comparison} |`
  })
  return ['| item | value | unit | target |', '|---|---|---|---|', ...lines].join('\n')
}
