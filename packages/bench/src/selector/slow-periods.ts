/**
 * Slow periods of one upstream: normal and slow periods of exponential length alternate. A slow period also slows the
 * work that is already running.
 */

/** Draws from an exponential distribution. */
export type Exponential = (mean: number) => number

/** Frequency, length and effect of slow periods. */
export interface SlowPeriodDistribution {
  /** Share of the time in slow periods; 0 for none. */
  readonly share: number
  /** Mean length of a slow period in milliseconds. */
  readonly meanMs: number
  /** Factor by which work takes longer in a slow period. */
  readonly slowdown: number
}

/** The speed of one upstream over time. */
export interface SlowPeriods {
  /** Time at which work that starts at `start` ends. `workMs` is its duration at normal speed. */
  readonly finishTime: (start: number, workMs: number) => number
  readonly isSlowAt: (time: number) => boolean
}

/** Creates the slow periods of an upstream. Periods are drawn when a time after the last one is first queried. */
export function createSlowPeriods (distribution: SlowPeriodDistribution, exponential: Exponential): SlowPeriods {
  /** Ends of the periods; even indexes are normal periods. */
  const ends: number[] = []

  function drawPeriodsUntil (time: number): void {
    while (ends.length === 0 || ends[ends.length - 1] <= time) {
      const normal = ends.length % 2 === 0
      const mean = normal ? distribution.meanMs * (1 - distribution.share) / distribution.share : distribution.meanMs
      ends.push((ends[ends.length - 1] ?? 0) + exponential(mean))
    }
  }

  function periodAt (time: number): number {
    drawPeriodsUntil(time)
    let low = 0
    let high = ends.length - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if (ends[middle] > time) high = middle
      else low = middle + 1
    }
    return low
  }

  return {
    isSlowAt: time => distribution.share > 0 && periodAt(time) % 2 === 1,
    finishTime: (start, workMs) => {
      if (distribution.share === 0) return start + workMs
      let remainingMs = workMs
      let time = start
      for (let period = periodAt(start); ; period += 1) {
        drawPeriodsUntil(time)
        const factor = period % 2 === 1 ? distribution.slowdown : 1
        if (time + remainingMs * factor <= ends[period]) return time + remainingMs * factor
        remainingMs -= (ends[period] - time) / factor
        time = ends[period]
      }
    }
  }
}
