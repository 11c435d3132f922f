/**
 * Counters over a sliding window of ten buckets. The window ends with the bucket of `now`; a bucket leaves the sums as a
 * whole.
 */

/** Buckets of a window. */
const BUCKET_COUNT = 10
/** Length of a window in milliseconds, unless another one is asked for. */
const DEFAULT_WINDOW_MS = 10_000

/** Counters whose sums cover the last nine to ten tenths of the window. */
export interface SlidingWindow {
  /** Adds one to a counter. */
  readonly add: (counter: number, now: number) => void
  /** Sum of a counter over the window. */
  readonly sum: (counter: number, now: number) => number
}

/** Creates a window with `counters` counters, numbered from 0. */
export function createSlidingWindow (counters: number, windowMs = DEFAULT_WINDOW_MS): SlidingWindow {
  const bucketMs = windowMs / BUCKET_COUNT
  const counts = new Float64Array(counters * BUCKET_COUNT)
  const sums = new Float64Array(counters)
  let newestBucket = -Infinity

  function clear (bucket: number): void {
    const position = ((bucket % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT
    for (let counter = 0; counter < counters; counter += 1) {
      const index = position * counters + counter
      sums[counter] -= counts[index]
      counts[index] = 0
    }
  }

  function advance (now: number): number {
    const bucket = Math.floor(now / bucketMs)
    if (bucket > newestBucket) {
      for (let next = Math.max(newestBucket + 1, bucket - BUCKET_COUNT + 1); next <= bucket; next += 1) clear(next)
      newestBucket = bucket
    }
    return ((newestBucket % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT
  }

  return {
    add: (counter, now) => {
      counts[advance(now) * counters + counter] += 1
      sums[counter] += 1
    },
    sum: (counter, now) => {
      advance(now)
      return sums[counter]
    }
  }
}
