/**
 * The upstreams of the service registry, with look-up by id and by service.
 *
 * Registry entries expire unless their upstream renews them, which it can't do while the store is unavailable. A live
 * upstream registers again soon after the store is back, so a row that is missing after an outage is still used until the
 * end of a grace period, which is the same for all instances.
 */
import type { LimitState, Upstream, UpstreamEntry } from './upstream.js'
import { hash32 } from '@arbutustray/core'

export interface UpstreamTable {
  readonly get: (id: string) => Upstream | undefined
  readonly all: () => Iterable<Upstream>
  /** Rows of a service, sorted by id. The array is replaced when `version` increases. */
  readonly ofService: (service: string) => readonly Upstream[]
  /** Number that increases when a row is added, is removed or changes its service. */
  readonly version: () => number
  /** Adds or updates a row. Returns whether the upstream is new or its process was replaced. */
  readonly put: (entry: UpstreamEntry, now: number) => boolean
  readonly remove: (id: string) => boolean
  /** Keeps a row that is missing from the registry after an outage in use until then. Returns whether it was not marked before. */
  readonly markMissing: (id: string, until: number) => boolean
  /** Records that the upstream's process is leaving, also in case its entry is removed and comes back. Returns whether that is new. */
  readonly markLeaving: (upstream: Upstream) => boolean
  /** Records that the upstream's process wants no requests until then, also in case its entry is removed and comes back. */
  readonly markPaused: (upstream: Upstream, until: number) => void
  /** Records the limit that the upstream's process states, or its end, also in case its entry is removed and comes back. */
  readonly markLimited: (upstream: Upstream, limit: LimitState | undefined) => void
  /** Ids and limits of the rows with a stated limit. */
  readonly limited: () => ReadonlyArray<readonly [id: string, limit: LimitState]>
  /** Ids of rows whose grace period has ended. */
  readonly overdueIds: (now: number) => readonly string[]
}

/** Limit on the processes whose statements are remembered. */
const MAX_REMEMBERED = 10_000

function isSameProcess (a: UpstreamEntry, b: UpstreamEntry): boolean {
  return a.bornAt === b.bornAt && a.address === b.address
}

export function createUpstreamTable (regionOf: (zone: string) => string): UpstreamTable {
  const rows = new Map<string, Upstream>()
  const rowsByService = new Map<string, readonly Upstream[]>()
  /** Ids that were marked as missing; some may be back or removed since. */
  const marked = new Set<string>()
  /** Newest row of each process that made a statement that binds later requests, by id; in the order in which they did. */
  const remembered = new Map<string, Upstream>()
  let version = 0

  /** The newest row of the process, if it has made such a statement. */
  function recall (entry: UpstreamEntry): Upstream | undefined {
    const known = remembered.get(entry.id)
    return known !== undefined && isSameProcess(known.entry, entry) ? known : undefined
  }

  function remember (upstream: Upstream): void {
    remembered.delete(upstream.id)
    remembered.set(upstream.id, upstream)
    const [oldest] = remembered.keys()
    if (remembered.size > MAX_REMEMBERED) remembered.delete(oldest)
  }

  function invalidate (): void {
    version += 1
    rowsByService.clear()
  }

  function create (entry: UpstreamEntry): Upstream {
    const known = recall(entry)
    const row: Upstream = {
      id: entry.id,
      entry,
      region: regionOf(entry.zone),
      idHash: hash32(entry.id),
      coldUntil: 0,
      missingUntil: undefined,
      outstanding: 0,
      otherInstancesLoad: 0,
      reportedSlowdown: 1,
      reportedAt: -Infinity,
      measuredSlowdown: 1,
      slowdownMeasuredAt: -Infinity,
      failureScore: 0,
      suspectSince: undefined,
      nextProbeAt: 0,
      isLeaving: known?.isLeaving ?? false,
      pausedUntil: known?.pausedUntil ?? 0,
      requestLimit: known?.requestLimit,
      recentAttemptTimes: [],
      noConnectionReuseUntil: 0
    }
    if (known !== undefined) remember(row)
    return row
  }

  return {
    get: id => rows.get(id),
    all: () => rows.values(),
    ofService: service => {
      let found = rowsByService.get(service)
      if (found === undefined) {
        found = [...rows.values()].filter(row => row.entry.service === service).sort((a, b) => a.id < b.id ? -1 : 1)
        rowsByService.set(service, found)
      }
      return found
    },
    version: () => version,
    put: (entry, now) => {
      const known = rows.get(entry.id)
      if (known !== undefined && isSameProcess(known.entry, entry)) {
        if (known.entry.service !== entry.service) invalidate()
        known.entry = entry
        known.missingUntil = undefined
        return false
      }
      const row = create(entry)
      // Attempts that are still open at the earlier process are subtracted from the new row when they end.
      row.outstanding = known?.outstanding ?? 0
      row.coldUntil = now + entry.coldMs
      rows.set(entry.id, row)
      invalidate()
      return true
    },
    remove: id => {
      if (!rows.delete(id)) return false
      invalidate()
      return true
    },
    markMissing: (id, until) => {
      const row = rows.get(id)
      if (row === undefined) return false
      const isNew = row.missingUntil === undefined
      row.missingUntil = Math.min(until, row.missingUntil ?? Infinity)
      marked.add(id)
      return isNew
    },
    markLeaving: upstream => {
      if (upstream.isLeaving) return false
      upstream.isLeaving = true
      remember(upstream)
      return true
    },
    markPaused: (upstream, until) => {
      upstream.pausedUntil = Math.max(upstream.pausedUntil, until)
      remember(upstream)
    },
    markLimited: (upstream, limit) => {
      upstream.requestLimit = limit
      remember(upstream)
    },
    limited: () => [...remembered.values()].flatMap(({ id, requestLimit }) => requestLimit !== undefined && rows.get(id)?.requestLimit === requestLimit ? [[id, requestLimit]] : []),
    overdueIds: now => {
      const overdue: string[] = []
      for (const id of marked) {
        const missingUntil = rows.get(id)?.missingUntil
        if (missingUntil === undefined) marked.delete(id)
        else if (now >= missingUntil) overdue.push(id)
      }
      return overdue
    }
  }
}
