/**
 * Counters over a sliding time window of ten buckets. The newest bucket is that of `now`; the sums drop the oldest
 * bucket as a whole when a new one begins, so they cover the last nine to ten tenths of the window.
 */

const BUCKET_COUNT = 10
const DEFAULT_WINDOW_MS = 10_000

/** Counters of one window, numbered from 0. Times are monotonic milliseconds. */
export interface SlidingWindow {
  /** Adds one to a counter. */
  readonly add: (counter: number, now: number) => void
  /** Sum of a counter over the window. */
  readonly sum: (counter: number, now: number) => number
}

/** Creates a window of `windowMs` milliseconds with the given number of counters. */
export function createSlidingWindow (counters: number, windowMs = DEFAULT_WINDOW_MS): SlidingWindow {
  const bucketMs = windowMs / BUCKET_COUNT
  const counts = new Float64Array(counters * BUCKET_COUNT)
  const sums = new Float64Array(counters)
  let newestBucket = -Infinity

  /** Empties the ring position of a bucket and subtracts its counts from the sums. */
  function clear (bucket: number): void {
    const position = ((bucket % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT
    for (let counter = 0; counter < counters; counter += 1) {
      const index = position * counters + counter
      sums[counter] -= counts[index]
      counts[index] = 0
    }
  }

  /** Makes the bucket of `now` the newest one and returns its position in the ring. */
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
