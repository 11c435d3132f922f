/**
 * Limits retries to a share of the requests, so that a failing service does not receive a multiple of its usual traffic.
 */
import type { SlidingWindow } from './sliding-window.js'
import { createSlidingWindow } from './sliding-window.js'

/** Retry budget by service, over a sliding window of 10 s. Times are monotonic milliseconds. */
export interface RetryBudget {
  /** Counts a request once; its retries are not counted here. */
  readonly recordRequest: (service: string, now: number) => void
  /** Takes one retry from the budget; false, and nothing is taken, when the budget is exhausted. */
  readonly tryAcquire: (service: string, now: number) => boolean
}

/** Retries that the window allows per request. */
const MAX_RETRY_RATIO = 0.1
/** Retries that the window allows in addition to that ratio, so that services with little traffic can retry at all. */
const EXTRA_RETRIES_PER_WINDOW = 3

/** Counters of the sliding window. */
const REQUESTS = 0
const RETRIES = 1
const COUNTERS = 2

/** Creates the retry budgets of one entry instance. */
export function createRetryBudget (): RetryBudget {
  const windows = new Map<string, SlidingWindow>()

  function windowOf (service: string): SlidingWindow {
    let window = windows.get(service)
    if (window === undefined) windows.set(service, window = createSlidingWindow(COUNTERS))
    return window
  }

  return {
    recordRequest: (service, now) => windowOf(service).add(REQUESTS, now),
    tryAcquire: (service, now) => {
      const window = windowOf(service)
      const allowed = MAX_RETRY_RATIO * window.sum(REQUESTS, now) + EXTRA_RETRIES_PER_WINDOW
      if (window.sum(RETRIES, now) + 1 > allowed) return false
      window.add(RETRIES, now)
      return true
    }
  }
}
