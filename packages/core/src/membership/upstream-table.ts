/**
 * Maintains the rows of the upstreams: those that the platform lists, with the state `leaving` if any source reported
 * it.
 */
import type { ListedInstance } from '../event.js'
import type { World } from '../tables.js'
import type { LeavingUpstreamSet } from './leaving-upstream-set.js'

/** Rows missing from the platform's list are kept this long, because the list lags. */
export const UNLISTED_RETENTION_MS = 30_000

/** Updates `world.upstreams`. No other module writes to it. */
export interface UpstreamTable {
  /** Applies the platform's list and returns the entries that it is the first source to report as leaving. */
  readonly receiveList: (entries: readonly ListedInstance[], now: number) => readonly ListedInstance[]
  /** Returns true if the upstream was not known to be leaving. `zone` is used if the upstream is not listed. */
  readonly markLeaving: (id: string, zone: string | undefined, now: number) => boolean
}

/** Creates the writer of `world.upstreams`. */
export function createUpstreamTable (world: World, leavingSet: LeavingUpstreamSet): UpstreamTable {
  /** Time of the first list without the upstream, by upstream id. */
  const unlistedSince = new Map<string, number>()
  let hasList = false

  function markLeaving (id: string, zone: string | undefined, now: number): boolean {
    const row = world.upstreams.get(id)
    const isNew = leavingSet.add(id, row?.zone ?? zone, now)
    if (row?.state === 'live') world.upstreams.set(id, { ...row, state: 'leaving', leavingAt: now })
    return isNew
  }

  function applyEntry (entry: ListedInstance, service: string, now: number): boolean {
    unlistedSince.delete(entry.id)
    const { id, zone, address } = entry
    const isNew = entry.state === 'leaving' && leavingSet.add(id, zone, now)
    const leavingAt = leavingSet.leavingSince(id)
    // An entry instance that has just started can't tell which upstreams are new and need a cold start. It treats all
    // upstreams of its first list as warm; otherwise replacing the entry fleet would cut most slots for that time.
    const listedAt = world.upstreams.get(id)?.listedAt ?? (hasList ? now : -Infinity)
    world.upstreams.set(id, {
      id,
      service,
      zone,
      address,
      listedAt,
      ...(leavingAt === undefined ? { state: 'live' } : { state: 'leaving', leavingAt })
    })
    return isNew
  }

  function removeUnlisted (listed: ReadonlySet<string>, now: number): void {
    for (const id of [...world.upstreams.keys()]) {
      if (listed.has(id)) continue
      const since = unlistedSince.get(id) ?? now
      unlistedSince.set(id, since)
      if (now - since < UNLISTED_RETENTION_MS) continue
      unlistedSince.delete(id)
      world.upstreams.delete(id)
    }
  }

  return {
    markLeaving,
    receiveList: (entries, now) => {
      const listed = new Set<string>()
      const marked: ListedInstance[] = []
      for (const entry of entries) {
        if (entry.role !== 'upstream' || entry.service === undefined) continue
        listed.add(entry.id)
        if (applyEntry(entry, entry.service, now)) marked.push(entry)
      }
      hasList = true
      removeUnlisted(listed, now)
      leavingSet.expire(id => world.upstreams.get(id)?.zone, now)
      return marked
    }
  }
}
