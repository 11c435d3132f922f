/**
 * Ids of upstreams that leave. A mark is final: neither the lagging list nor a late heartbeat takes it back.
 */

interface Mark {
  readonly zone: string | undefined
  readonly markedAt: number
  /** Monotonic time up to which an upstream with the id was listed. */
  readonly listedUntil: number
}

/** The marks that one instance knows. */
export interface LeavingMarks {
  /** Returns true if the mark is new. `zone` is absent if the upstream was never listed here. */
  readonly add: (id: string, zone: string | undefined, now: number) => boolean
  readonly markedAt: (id: string) => number | undefined
  /** Marks of a zone for one heartbeat, at most `MAX_MARKS`; more marks take turns by `round`. */
  readonly ofZone: (zone: string, round: number, now: number) => readonly string[]
  /** Forgets marks of upstreams that were unlisted for long. `zoneOf` returns `undefined` for unlisted ones. */
  readonly expire: (zoneOf: (id: string) => string | undefined, now: number) => void
}

/** Bounds the size of a heartbeat. */
export const MAX_MARKS = 32
/** Longer than the list may lag, so that a late list can't bring an upstream back. */
export const MARK_RETENTION_MS = 600_000
/** Marks of unlisted upstreams are passed on for this time only, so that peers don't renew each other's marks. */
const UNLISTED_RELAY_MS = 30_000

/** Creates an empty set of marks. */
export function createLeavingMarks (): LeavingMarks {
  const marks = new Map<string, Mark>()
  return {
    add: (id, zone, now) => {
      if (marks.has(id)) return false
      marks.set(id, { zone, markedAt: now, listedUntil: now })
      return true
    },
    markedAt: id => marks.get(id)?.markedAt,
    ofZone: (zone, round, now) => {
      const ids = [...marks]
        .filter(([, mark]) => mark.zone === zone && now - mark.listedUntil < UNLISTED_RELAY_MS)
        .sort(([, a], [, b]) => b.markedAt - a.markedAt)
        .map(([id]) => id)
      if (ids.length <= MAX_MARKS) return ids
      // The newest half is sent always, because the receiver may not know it yet.
      const newest = ids.slice(0, MAX_MARKS / 2)
      return [...newest, ...takeTurns(ids.slice(MAX_MARKS / 2), MAX_MARKS / 2, round)]
    },
    expire: (zoneOf, now) => {
      for (const [id, mark] of [...marks]) {
        const zone = zoneOf(id)
        if (zone !== undefined) marks.set(id, { ...mark, zone, listedUntil: now })
        else if (now - mark.listedUntil > MARK_RETENTION_MS) marks.delete(id)
      }
    }
  }
}

/** `count` items from a list, the next ones in each round. */
export function takeTurns<T> (items: readonly T[], count: number, round: number): readonly T[] {
  if (items.length <= count) return items
  const first = (round * count) % items.length
  return [...items.slice(first), ...items.slice(0, first)].slice(0, count)
}
