/**
 * Attempts that are outstanding at each upstream. The index is kept up to date by its callers, so that a decision
 * never scans the table of attempts.
 */
import type { LengthClass } from '../configuration.js'

/** Index of the outstanding attempts of this instance, by upstream. */
export interface Outstanding {
  /** Outstanding attempts at the upstream. */
  readonly count: (upstreamId: string) => number
  /** Outstanding attempts of long work at the upstream. */
  readonly countLong: (upstreamId: string) => number
  /** Adds an attempt. An attempt that is already present stays as it is. */
  readonly add: (upstreamId: string, attemptId: string, length: LengthClass, now: number) => void
  /** Removes an attempt. An unknown attempt is ignored. */
  readonly remove: (upstreamId: string, attemptId: string) => void
  /** Monotonic start of the oldest outstanding attempt, in milliseconds; of one length class when `length` is given. */
  readonly oldestStart: (upstreamId: string, length?: LengthClass) => number | undefined
}

/** Start times by attempt. The caller's clock never goes back, so the first entry is the oldest. */
type StartTimes = Map<string, number>

type StartTimesByLength = { readonly [L in LengthClass]: StartTimes }

/** Creates an empty index. */
export function createOutstanding (): Outstanding {
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
