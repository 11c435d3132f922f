/**
 * Bounds retries to a share of the requests, so that a failing service does not receive a multiple of its traffic.
 */
import type { SlidingWindow } from './sliding-window.js'
import { createSlidingWindow } from './sliding-window.js'

/** Retry budget by service, over a sliding window of 10 s. */
export interface RetryBudget {
  /** Counts a request, not its retries. */
  readonly recordRequest: (service: string, now: number) => void
  /** Takes one retry. False when the budget is used up; nothing is taken then. */
  readonly take: (service: string, now: number) => boolean
}

/** Retries per request in the window. */
const MAX_RETRY_RATIO = 0.1
/** Retries that a window allows in any case, so that services with little traffic can retry at all. */
const MIN_RETRIES_PER_WINDOW = 3

const REQUESTS = 0
const RETRIES = 1
const COUNTERS = 2

/** Creates the retry budget of one instance. */
export function createRetryBudget (): RetryBudget {
  const windows = new Map<string, SlidingWindow>()

  function windowOf (service: string): SlidingWindow {
    let window = windows.get(service)
    if (window === undefined) windows.set(service, window = createSlidingWindow(COUNTERS))
    return window
  }

  return {
    recordRequest: (service, now) => windowOf(service).add(REQUESTS, now),
    take: (service, now) => {
      const window = windowOf(service)
      const allowed = MAX_RETRY_RATIO * window.sum(REQUESTS, now) + MIN_RETRIES_PER_WINDOW
      if (window.sum(RETRIES, now) + 1 > allowed) return false
      window.add(RETRIES, now)
      return true
    }
  }
}
