/**
 * Upstreams as the platform lists them, with the leaving marks of all sources.
 */
import type { ListedInstance } from '../event.js'
import type { World } from '../tables.js'
import type { LeavingUpstreamSet } from './leaving-upstream-set.js'

/** The list lags, so an entry that it lacks is removed only after this time. */
export const UNLISTED_RETENTION_MS = 30_000

/** The owner of `world.upstreams`. */
export interface UpstreamTable {
  /** Returns the upstreams that the list is the first to mark. */
  readonly receiveList: (entries: readonly ListedInstance[], now: number) => readonly ListedInstance[]
  /** Returns true if the mark is new. `zone` says where an upstream that is not listed belongs. */
  readonly markLeaving: (id: string, zone: string | undefined, now: number) => boolean
}

/** Creates the owner of `world.upstreams`. */
export function createUpstreamTable (world: World, leavingSet: LeavingUpstreamSet): UpstreamTable {
  /** Time of the first list without the upstream. */
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
    // An instance that starts can't tell which upstreams are cold. It takes those of its first list as warm, because
    // a fleet under replacement would otherwise lose most of its slots for the length of the cold start.
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
