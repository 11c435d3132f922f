/**
 * Which entry instances of a zone are present, and since when the others are absent. An instance that was never heard
 * counts as present for the first three seconds of this instance, because its heartbeat may still be on the way.
 */
import type { Configuration } from '../configuration.js'
import type { Instance, World } from '../tables.js'
import type { ConfigurationIndex } from './configuration-index.js'
import { createGroupIndex } from './group-index.js'

/** Presence of the entry instances of one zone. */
export interface Presence {
  /** Ids among which the slots are divided: the present instances, then those that were heard most recently. */
  readonly members: readonly string[]
  /** Configured instances that are neither present nor known by their id. */
  readonly unknownCount: number
  /** Monotonic time since which at least one configured instance is absent. */
  readonly absentSince: number | undefined
  /** Monotonic time since which no instance of the zone is present. */
  readonly allAbsentSince: number | undefined
  /** Changes whenever an absent instance is heard again. */
  readonly returnCount: number
}

/** Gives the presence of a zone now. */
export type ZonePresence = (zone: string, now: number) => Presence

/** An instance counts as absent when it was not heard for this time. */
const SILENT_AFTER_MS = 3_000
/** Absences of instances that are no longer in the table are dropped when there are more than this. */
const MAX_ABSENCES_BEFORE_PRUNE = 1_000

interface Absence { readonly since: number }

interface CachedPresence {
  value: Presence
  ids: readonly string[]
  configuration: Configuration | undefined
  /** All configured instances were present, so only the rows need a check. */
  allPresent: boolean
  /** Time of the last check. One decision asks for every upstream of a zone at the same time. */
  checkedAt: number
  unknownCount: number
  unknownSince: number
}

function sameIds (left: readonly string[], right: readonly string[]): boolean {
  return left.length === right.length && left.every((id, index) => id === right[index])
}

/** A late digest can tell of a sign of life before the absence began; that is no return. */
function hasReturned (row: Instance, absence: Absence): boolean {
  return row.heardAt > absence.since
}

/** Creates the view of one instance. Its start is the first `now` that it is given. */
export function createZonePresence (world: World, configuration: ConfigurationIndex): ZonePresence {
  const idsOf = createGroupIndex(world.instances, row => row.zone)
  const absences = new Map<string, Absence>()
  const cache = new Map<string, CachedPresence>()
  let startupGraceEnd: number | undefined

  function isPresent (row: Instance | undefined, now: number, graceEnd: number): boolean {
    if (row === undefined) return false
    if (row.heardAt === -Infinity) return now < graceEnd
    // A leaving instance ends without a further mark, so its last heartbeat decides.
    if (row.state === 'leaving') return now - row.heardAt < SILENT_AFTER_MS
    return row.state === 'live'
  }

  function absenceOf (row: Instance, now: number, graceEnd: number): Absence {
    const recorded = absences.get(row.id)
    if (recorded !== undefined && !hasReturned(row, recorded)) return recorded
    const silentAt = row.heardAt === -Infinity ? graceEnd : row.heardAt + SILENT_AFTER_MS
    const absence = { since: Math.min(now, silentAt) }
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
    const missingCount = Math.max(0, configuredCount - present.length)
    const recentlyAbsent = absent.sort((a, b) => b.heardAt - a.heardAt || (a.id < b.id ? -1 : 1)).slice(0, missingCount)
    const unknownCount = missingCount - recentlyAbsent.length
    if (cached !== undefined && unknownCount < cached.unknownCount) returnCount += 1
    const unknownSince = cached !== undefined && cached.unknownCount > 0 ? cached.unknownSince : Math.max(now, graceEnd)
    const absenceStarts = recentlyAbsent.map(row => absenceOf(row, now, graceEnd).since)
    if (unknownCount > 0) absenceStarts.push(unknownSince)
    const members = [...present, ...recentlyAbsent.map(row => row.id)]
    const value: Presence = {
      members: cached !== undefined && sameIds(members, cached.value.members) ? cached.value.members : members,
      unknownCount,
      absentSince: absenceStarts.length === 0 ? undefined : Math.min(...absenceStarts),
      allAbsentSince: present.length > 0 ? undefined : absenceStarts.length === 0 ? graceEnd : Math.max(...absenceStarts),
      returnCount
    }
    return { value, ids, configuration: world.configuration, allPresent: missingCount === 0, checkedAt: now, unknownCount, unknownSince }
  }

  return (zone, now) => {
    const graceEnd = startupGraceEnd ??= now + SILENT_AFTER_MS
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
