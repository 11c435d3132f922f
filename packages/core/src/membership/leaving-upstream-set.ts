/**
 * The upstreams known to be leaving. Leaving is final: an upstream in the set stays there even if the platform's list,
 * which lags, or a delayed heartbeat still reports it as live.
 */

interface LeavingRecord {
  readonly zone: string | undefined
  readonly recordedAt: number
  /** Monotonic time up to which the upstream was known to be listed; the time of the record at first. */
  readonly lastListedAt: number
}

/** Ids of leaving upstreams, with the time at which each was added. */
export interface LeavingUpstreamSet {
  /** Returns true if the id was not in the set. `zone` is undefined if the upstream was never listed here. */
  readonly add: (id: string, zone: string | undefined, now: number) => boolean
  /** Monotonic time at which the id was added. */
  readonly leavingSince: (id: string) => number | undefined
  /**
   * Ids of a zone to send in the heartbeat of a round, at most `MAX_LEAVING_IDS_PER_HEARTBEAT`. If there are more, the
   * newest are always included and the older ones rotate with `round`.
   */
  readonly selectForHeartbeat: (zone: string, round: number, now: number) => readonly string[]
  /**
   * Removes ids that have been absent from the platform's list for `LEAVING_RETENTION_MS`. `zoneOf` returns
   * `undefined` for upstreams that are not listed.
   */
  readonly expire: (zoneOf: (id: string) => string | undefined, now: number) => void
}

/** Bounds the size of a heartbeat. */
export const MAX_LEAVING_IDS_PER_HEARTBEAT = 32
/** Longer than the list may lag, so that a late list can't bring an upstream back. */
export const LEAVING_RETENTION_MS = 600_000
/** Ids of unlisted upstreams are gossiped only this long. Otherwise peers would add them again for each other forever. */
const UNLISTED_GOSSIP_MS = 30_000

/** Creates an empty set. */
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
      // The newest ids fill half of the heartbeat in every round, because the receiver may not have them yet.
      const newest = ids.slice(0, MAX_LEAVING_IDS_PER_HEARTBEAT / 2)
      return [
        ...newest,
        ...selectRoundRobin(ids.slice(MAX_LEAVING_IDS_PER_HEARTBEAT / 2), MAX_LEAVING_IDS_PER_HEARTBEAT / 2, round)
      ]
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

/** Returns up to `count` items; each round continues where the previous one ended and wraps around. */
export function selectRoundRobin<T> (items: readonly T[], count: number, round: number): readonly T[] {
  if (items.length <= count) return items
  const first = (round * count) % items.length
  return [...items.slice(first), ...items.slice(0, first)].slice(0, count)
}
