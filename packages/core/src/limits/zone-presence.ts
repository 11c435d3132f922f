/**
 * Computes from the heartbeats which entry instances of a zone are present, and since when the others are absent. The
 * configuration gives only the number of instances of a zone; their ids are learned from the instance table. Configured
 * instances that are not present are absent; those among them for which the table has no row are unknown. An instance
 * from which no heartbeat was received counts as present during the first three seconds after the start of this
 * instance, because its first heartbeat may still be on the way.
 */
import type { Configuration } from '../configuration.js'
import type { Instance, World } from '../tables.js'
import type { ConfigurationIndex } from './configuration-index.js'
import { createGroupIndex } from './group-index.js'

/** Presence of the entry instances of one zone. */
export interface Presence {
  /**
   * Ids of the instances that share the slots: the present ones and, up to the configured number, the absent ones with
   * the latest heartbeats.
   */
  readonly sharingIds: readonly string[]
  /** Number of absent configured instances without a row in the instance table, whose ids are therefore unknown. */
  readonly unknownCount: number
  /** Monotonic time since which at least one configured instance is absent; undefined when all are present. */
  readonly absentSince: number | undefined
  /** Monotonic time since which no instance of the zone is present; undefined when one is present. */
  readonly allAbsentSince: number | undefined
  /** Grows when an absent instance is heard again, and when the number of unknown instances falls. */
  readonly returnCount: number
}

/** Computes the presence of a zone at `now`. */
export type ZonePresence = (zone: string, now: number) => Presence

/** Time without a heartbeat after which an instance counts as absent. */
const ABSENT_AFTER_MS = 3_000
/** At this number of absences, those of instances that are no longer in the table are dropped. */
const MAX_ABSENCES_BEFORE_PRUNE = 1_000

/** An absence of one instance. `since` is the monotonic time at which it began. */
interface Absence { readonly since: number }

/** The last result for a zone, and the inputs that tell whether it still holds. */
interface CachedPresence {
  value: Presence
  ids: readonly string[]
  configuration: Configuration | undefined
  /** Whether all configured instances were present. The result then holds while the same instances stay present. */
  allPresent: boolean
  /** Time of the last check. A selection queries the zone once per upstream with the same `now`; one check is enough. */
  checkedAt: number
  unknownCount: number
  unknownSince: number
}

function sameIds (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((id, index) => id === right[index])
}

/** Whether the instance was heard after its absence began. A late sighting by a peer may report an earlier heartbeat, which is no return. */
function hasReturned (row: Instance, absence: Absence): boolean {
  return row.heardAt > absence.since
}

/** Creates the presence of zones as seen by this instance. The first `now` counts as the start of the instance. */
export function createZonePresence (world: World, configuration: ConfigurationIndex): ZonePresence {
  const idsOf = createGroupIndex(world.instances, row => row.zone)
  const absences = new Map<string, Absence>()
  const cache = new Map<string, CachedPresence>()
  let startupGraceEnd: number | undefined

  function isPresent (row: Instance | undefined, now: number, graceEnd: number): boolean {
    if (row === undefined) return false
    if (row.heardAt === -Infinity) return now < graceEnd
    // A leaving instance stays in state `leaving` when it ends, so its last heartbeat decides.
    if (row.state === 'leaving') return now - row.heardAt < ABSENT_AFTER_MS
    return row.state === 'live'
  }

  function absenceOf (row: Instance, now: number, graceEnd: number): Absence {
    const recorded = absences.get(row.id)
    if (recorded !== undefined && !hasReturned(row, recorded)) return recorded
    const absentAt = row.heardAt === -Infinity ? graceEnd : row.heardAt + ABSENT_AFTER_MS
    const absence = { since: Math.min(now, absentAt) }
    if (absences.size >= MAX_ABSENCES_BEFORE_PRUNE) {
      for (const id of absences.keys()) if (!world.instances.has(id)) absences.delete(id)
    }
    absences.set(row.id, absence)
    return absence
  }

  function computePresence (zone: string, ids: readonly string[], configuredCount: number, cached: CachedPresence | undefined, now: number, graceEnd: number): CachedPresence {
    const present = zone === world.self.zone ? [world.self.id] : []
    const absent: Instance[] = []
    let returnCount = cached?.value.returnCount ?? 0
    for (const id of ids) {
      const row = world.instances.get(id)
      if (row === undefined || id === world.self.id) continue
      const previousAbsence = absences.get(id)
      const isNowPresent = isPresent(row, now, graceEnd)
      if (previousAbsence !== undefined && (isNowPresent || hasReturned(row, previousAbsence))) returnCount += 1
      if (isNowPresent) {
        absences.delete(id)
        present.push(id)
      } else absent.push(row)
    }
    const absentCount = Math.max(0, configuredCount - present.length)
    const recentlyAbsent = absent.sort((a, b) => b.heardAt - a.heardAt || (a.id < b.id ? -1 : 1)).slice(0, absentCount)
    const unknownCount = absentCount - recentlyAbsent.length
    if (cached !== undefined && unknownCount < cached.unknownCount) returnCount += 1
    const unknownSince = cached !== undefined && cached.unknownCount > 0 ? cached.unknownSince : Math.max(now, graceEnd)
    const absenceStarts = recentlyAbsent.map(row => absenceOf(row, now, graceEnd).since)
    if (unknownCount > 0) absenceStarts.push(unknownSince)
    const sharingIds = [...present, ...recentlyAbsent.map(row => row.id)]
    const value: Presence = {
      sharingIds: cached !== undefined && sameIds(sharingIds, cached.value.sharingIds) ? cached.value.sharingIds : sharingIds,
      unknownCount,
      absentSince: absenceStarts.length === 0 ? undefined : Math.min(...absenceStarts),
      // Without any absence the zone has no configured instances. It then counts as empty since the end of the grace.
      allAbsentSince: present.length > 0 ? undefined : absenceStarts.length === 0 ? graceEnd : Math.max(...absenceStarts),
      returnCount
    }
    return { value, ids, configuration: world.configuration, allPresent: absentCount === 0, checkedAt: now, unknownCount, unknownSince }
  }

  return (zone, now) => {
    const graceEnd = startupGraceEnd ??= now + ABSENT_AFTER_MS
    const cached = cache.get(zone)
    const unchanged = cached !== undefined && cached.allPresent && cached.configuration === world.configuration
    if (unchanged && cached.checkedAt === now) return cached.value
    const ids = idsOf(zone, now)
    if (unchanged && cached.ids === ids && ids.every(id => isPresent(world.instances.get(id), now, graceEnd))) {
      cached.checkedAt = now
      return cached.value
    }
    const next = computePresence(zone, ids, configuration.zone(zone)?.instances ?? 0, cached, now, graceEnd)
    cache.set(zone, next)
    return next.value
  }
}
