/**
 * Ids of upstreams that leave. A mark is final: neither the lagging list nor a late heartbeat takes it back.
 */

interface LeavingRecord {
  readonly zone: string | undefined
  readonly recordedAt: number
  /** Monotonic time up to which an upstream with the id was listed. */
  readonly lastListedAt: number
}

/** The marks that one instance knows. */
export interface LeavingUpstreamSet {
  /** Returns true if the mark is new. `zone` is absent if the upstream was never listed here. */
  readonly add: (id: string, zone: string | undefined, now: number) => boolean
  readonly leavingSince: (id: string) => number | undefined
  /** Marks of a zone for one heartbeat, at most `MAX_LEAVING_IDS_PER_HEARTBEAT`; more marks take turns by `round`. */
  readonly selectForHeartbeat: (zone: string, round: number, now: number) => readonly string[]
  /** Forgets marks of upstreams that were unlisted for long. `zoneOf` returns `undefined` for unlisted ones. */
  readonly expire: (zoneOf: (id: string) => string | undefined, now: number) => void
}

/** Bounds the size of a heartbeat. */
export const MAX_LEAVING_IDS_PER_HEARTBEAT = 32
/** Longer than the list may lag, so that a late list can't bring an upstream back. */
export const LEAVING_RETENTION_MS = 600_000
/** Marks of unlisted upstreams are passed on for this time only, so that peers don't renew each other's records. */
const UNLISTED_GOSSIP_MS = 30_000

/** Creates an empty set of records. */
export function createLeavingUpstreamSet (): LeavingUpstreamSet {
  const records = new Map<string, LeavingRecord>()
  return {
    add: (id, zone, now) => {
      if (records.has(id)) return false
      records.set(id, { zone, recordedAt: now, lastListedAt: now })
      return true
    },
    leavingSince: id => records.get(id)?.recordedAt,
    selectForHeartbeat: (zone, round, now) => {
      const ids = [...records]
        .filter(([, record]) => record.zone === zone && now - record.lastListedAt < UNLISTED_GOSSIP_MS)
        .sort(([, a], [, b]) => b.recordedAt - a.recordedAt)
        .map(([id]) => id)
      if (ids.length <= MAX_LEAVING_IDS_PER_HEARTBEAT) return ids
      // The newest half is sent always, because the receiver may not know it yet.
      const newest = ids.slice(0, MAX_LEAVING_IDS_PER_HEARTBEAT / 2)
      return [...newest, ...selectRoundRobin(ids.slice(MAX_LEAVING_IDS_PER_HEARTBEAT / 2), MAX_LEAVING_IDS_PER_HEARTBEAT / 2, round)]
    },
    expire: (zoneOf, now) => {
      for (const [id, record] of [...records]) {
        const zone = zoneOf(id)
        if (zone !== undefined) records.set(id, { ...record, zone, lastListedAt: now })
        else if (now - record.lastListedAt > LEAVING_RETENTION_MS) records.delete(id)
      }
    }
  }
}

/** `count` items from a list, the next ones in each round. */
export function selectRoundRobin<T> (items: readonly T[], count: number, round: number): readonly T[] {
  if (items.length <= count) return items
  const first = (round * count) % items.length
  return [...items.slice(first), ...items.slice(0, first)].slice(0, count)
}
