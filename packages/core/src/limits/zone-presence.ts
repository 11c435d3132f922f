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
  readonly unknown: number
  /** Monotonic time since which at least one configured instance is absent. */
  readonly absentSince: number | undefined
  /** Monotonic time since which no instance of the zone is present. */
  readonly allAbsentSince: number | undefined
  /** Changes whenever an absent instance is heard again. */
  readonly returns: number
}

/** Gives the presence of a zone now. */
export type ZonePresence = (zone: string, now: number) => Presence

/** An instance counts as absent when it was not heard for this time. */
const SILENT_AFTER_MS = 3_000
/** Absences of instances that are no longer in the table are dropped when there are more than this. */
const PRUNE_AT = 1_000

interface Absence { readonly since: number }

interface Memo {
  value: Presence
  ids: readonly string[]
  configuration: Configuration | undefined
  /** All configured instances were present, so only the rows need a check. */
  full: boolean
  /** Time of the last check. One decision asks for every upstream of a zone at the same time. */
  checkedAt: number
  unknown: number
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
  const memos = new Map<string, Memo>()
  let graceEnd: number | undefined

  function isPresent (row: Instance | undefined, now: number, grace: number): boolean {
    if (row === undefined) return false
    if (row.heardAt === -Infinity) return now < grace
    // A leaving instance ends without a further mark, so its last heartbeat decides.
    if (row.state === 'leaving') return now - row.heardAt < SILENT_AFTER_MS
    return row.state === 'live'
  }

  function absenceOf (row: Instance, now: number, grace: number): Absence {
    const known = absences.get(row.id)
    if (known !== undefined && !hasReturned(row, known)) return known
    const due = row.heardAt === -Infinity ? grace : row.heardAt + SILENT_AFTER_MS
    const absence = { since: Math.min(now, due) }
    if (absences.size >= PRUNE_AT) {
      for (const id of absences.keys()) if (!world.instances.has(id)) absences.delete(id)
    }
    absences.set(row.id, absence)
    return absence
  }

  function compute (zone: string, ids: readonly string[], configured: number, memo: Memo | undefined, now: number, grace: number): Memo {
    const present = zone === world.self.zone ? [world.self.id] : []
    const absent: Instance[] = []
    let returns = memo?.value.returns ?? 0
    for (const id of ids) {
      const row = world.instances.get(id)
      if (row === undefined || id === world.self.id) continue
      const before = absences.get(id)
      const isHere = isPresent(row, now, grace)
      if (before !== undefined && (isHere || hasReturned(row, before))) returns += 1
      if (isHere) {
        absences.delete(id)
        present.push(id)
      } else absent.push(row)
    }
    const missing = Math.max(0, configured - present.length)
    const recent = absent.sort((a, b) => b.heardAt - a.heardAt || (a.id < b.id ? -1 : 1)).slice(0, missing)
    const unknown = missing - recent.length
    if (memo !== undefined && unknown < memo.unknown) returns += 1
    const unknownSince = memo !== undefined && memo.unknown > 0 ? memo.unknownSince : Math.max(now, grace)
    const since = recent.map(row => absenceOf(row, now, grace).since)
    if (unknown > 0) since.push(unknownSince)
    const members = [...present, ...recent.map(row => row.id)]
    const value: Presence = {
      members: memo !== undefined && sameIds(members, memo.value.members) ? memo.value.members : members,
      unknown,
      absentSince: since.length === 0 ? undefined : Math.min(...since),
      allAbsentSince: present.length > 0 ? undefined : since.length === 0 ? grace : Math.max(...since),
      returns
    }
    return { value, ids, configuration: world.configuration, full: missing === 0, checkedAt: now, unknown, unknownSince }
  }

  return (zone, now) => {
    const grace = graceEnd ??= now + SILENT_AFTER_MS
    const memo = memos.get(zone)
    const unchanged = memo !== undefined && memo.full && memo.configuration === world.configuration
    if (unchanged && memo.checkedAt === now) return memo.value
    const ids = idsOf(zone, now)
    if (unchanged && memo.ids === ids && ids.every(id => isPresent(world.instances.get(id), now, grace))) {
      memo.checkedAt = now
      return memo.value
    }
    const next = compute(zone, ids, configuration.zone(zone)?.instances ?? 0, memo, now, grace)
    memos.set(zone, next)
    return next.value
  }
}
