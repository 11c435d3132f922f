/**
 * Index of the outstanding attempts by upstream, so that no selection or limit scans the table of attempts. Callers add
 * each attempt at its start and remove it at its end.
 */
import type { LengthClass } from '../configuration.js'

/** Outstanding attempts of this instance by upstream. */
export interface OutstandingAttempts {
  /** Number of outstanding attempts at the upstream. */
  readonly count: (upstreamId: string) => number
  /** Number of outstanding attempts of length class `long` at the upstream. */
  readonly countLong: (upstreamId: string) => number
  /** Adds an attempt that starts at `now`. An attempt that is already present stays unchanged. */
  readonly add: (upstreamId: string, attemptId: string, length: LengthClass, now: number) => void
  /** Removes an attempt. An unknown attempt is ignored. */
  readonly remove: (upstreamId: string, attemptId: string) => void
  /** Start of the oldest outstanding attempt, of one length class if given, in monotonic milliseconds. */
  readonly oldestStart: (upstreamId: string, length?: LengthClass) => number | undefined
}

/** Start times by attempt, in insertion order. The clock is monotonic, so the first entry is the oldest. */
type StartTimes = Map<string, number>

type StartTimesByLength = { readonly [L in LengthClass]: StartTimes }

/** Creates an empty index. */
export function createOutstandingAttempts (): OutstandingAttempts {
  const entries = new Map<string, StartTimesByLength>()

  function oldestOf (starts: StartTimes): number {
    return starts.values().next().value ?? Infinity
  }

  function oldestStart (upstreamId: string, length?: LengthClass): number | undefined {
    const entry = entries.get(upstreamId)
    if (entry === undefined) return undefined
    const oldest = length === undefined ? Math.min(oldestOf(entry.short), oldestOf(entry.long)) : oldestOf(entry[length])
    return oldest === Infinity ? undefined : oldest
  }

  function remove (upstreamId: string, attemptId: string): void {
    const entry = entries.get(upstreamId)
    if (entry === undefined) return
    if (!entry.short.delete(attemptId)) entry.long.delete(attemptId)
    if (entry.short.size + entry.long.size === 0) entries.delete(upstreamId)
  }

  return {
    count: upstreamId => {
      const entry = entries.get(upstreamId)
      return entry === undefined ? 0 : entry.short.size + entry.long.size
    },
    countLong: upstreamId => entries.get(upstreamId)?.long.size ?? 0,
    add: (upstreamId, attemptId, length, now) => {
      let entry = entries.get(upstreamId)
      if (entry === undefined) entries.set(upstreamId, entry = { short: new Map(), long: new Map() })
      if (!entry.short.has(attemptId) && !entry.long.has(attemptId)) entry[length].set(attemptId, now)
    },
    remove,
    oldestStart
  }
}
