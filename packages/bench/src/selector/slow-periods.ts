/**
 * Slow spells of one upstream: alternating normal and slow periods of exponential length. Work that is under way
 * slows down with the upstream.
 */

/** Draws from an exponential distribution. */
export type Exponential = (mean: number) => number

/** Shape of the spells. */
export interface SpellShape {
  /** Share of the time that is slow; 0 for none. */
  readonly share: number
  /** Mean length of a spell in milliseconds. */
  readonly meanMs: number
  /** Factor by which work takes longer. */
  readonly slowdown: number
}

/** The course of one upstream's speed. */
export interface Spells {
  /** Time at which `workMs` of work, at normal speed, is done when it starts at `start`. */
  readonly finish: (start: number, workMs: number) => number
  readonly slowAt: (time: number) => boolean
}

/** Creates the course; periods are drawn as far as they are asked for. */
export function createSpells (shape: SpellShape, exponential: Exponential): Spells {
  /** Ends of the periods; even indexes are normal periods. */
  const ends: number[] = []

  function extend (time: number): void {
    while (ends.length === 0 || ends[ends.length - 1] <= time) {
      const normal = ends.length % 2 === 0
      const mean = normal ? shape.meanMs * (1 - shape.share) / shape.share : shape.meanMs
      ends.push((ends[ends.length - 1] ?? 0) + exponential(mean))
    }
  }

  function periodAt (time: number): number {
    extend(time)
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
    slowAt: time => shape.share > 0 && periodAt(time) % 2 === 1,
    finish: (start, workMs) => {
      if (shape.share === 0) return start + workMs
      let left = workMs
      let time = start
      for (let period = periodAt(start); ; period += 1) {
        extend(time)
        const factor = period % 2 === 1 ? shape.slowdown : 1
        if (time + left * factor <= ends[period]) return time + left * factor
        left -= (ends[period] - time) / factor
        time = ends[period]
      }
    }
  }
}
