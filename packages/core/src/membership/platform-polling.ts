/**
 * Decides which calls this instance makes to the platform. The platform's rate limits grow more slowly than the fleet.
 * So only a few instances of each zone watch the configuration, and the others pull changes from peers. Reads of the
 * list are spread over the fleet; heartbeats tell the rest of a zone which upstreams are leaving.
 */
import type { World } from '../tables.js'
import { hash32 } from '../hash.js'

/** Instances of a zone that watch the configuration. The second one covers the time until a failure is detected. */
export const CONFIGURATION_WATCHERS_PER_ZONE = 2
/** Reads of the list by the whole fleet each second: a tenth of the platform's limit. */
export const FLEET_LIST_READS_PER_SECOND = 200
/** Shortest time between two reads of the list by one instance. */
export const MIN_LIST_POLL_PERIOD_MS = 1_000

const MS_PER_SECOND = 1_000

/** The calls that this instance makes to the platform. */
export interface PlatformPolling {
  readonly watchesConfiguration: boolean
  /** Time between two reads of the list by this instance, in milliseconds. */
  readonly listPollPeriodMs: number
}

/**
 * Computes the calls from the instances that are live now. All instances of a zone rank it by the same hash, so that
 * they agree on the watchers. An instance that sees no live peer in its zone is a watcher.
 */
export function computePlatformPolling (world: World): PlatformPolling {
  const { self, instances } = world
  const ownScore = hash32(`${self.zone} ${self.id}`)
  let higherRanked = 0
  for (const row of instances.values()) {
    if (row.zone !== self.zone || row.state !== 'live') continue
    const score = hash32(`${row.zone} ${row.id}`)
    if (score > ownScore || (score === ownScore && row.id < self.id)) higherRanked += 1
  }
  const fleetSize = instances.size + 1
  return {
    watchesConfiguration: higherRanked < CONFIGURATION_WATCHERS_PER_ZONE,
    listPollPeriodMs: Math.max(MIN_LIST_POLL_PERIOD_MS, fleetSize * MS_PER_SECOND / FLEET_LIST_READS_PER_SECOND)
  }
}
