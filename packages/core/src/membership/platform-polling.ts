/**
 * Which calls an instance makes to the platform. The platform's rates grow more slowly than the fleet, so only a few
 * instances of each zone watch the configuration, and the others pull changes from peers; reads of the list are
 * spread over the fleet, and leaving marks reach the rest of a zone by heartbeats.
 */
import type { World } from '../tables.js'
import { hash32 } from '../hash.js'

/** Instances of a zone that watch the configuration. The second one covers the time until a loss is noticed. */
export const WATCHERS_PER_ZONE = 2
/** Reads of the list by the whole fleet each second: a tenth of the reads that the platform takes. */
export const LIST_READS_PER_SECOND = 200
/** Shortest time between two reads of the list by one instance. */
export const MIN_LIST_POLL_PERIOD_MS = 1_000

const MS_PER_SECOND = 1_000

/** What this instance asks of the platform. */
export interface PlatformDuty {
  readonly watchesConfiguration: boolean
  /** Time between two reads of the list, in milliseconds. */
  readonly listPeriodMs: number
}

/** The duty by the instances that are live now. An instance that hears nobody watches. */
export function platformDuty (world: World): PlatformDuty {
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
    watchesConfiguration: higherRanked < WATCHERS_PER_ZONE,
    listPeriodMs: Math.max(MIN_LIST_POLL_PERIOD_MS, fleetSize * MS_PER_SECOND / LIST_READS_PER_SECOND)
  }
}
