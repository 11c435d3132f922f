/**
 * Limits the retries and hedges sent to a service in a sliding window, over all instances: a ratio of the requests plus
 * a fixed number. If each instance keeps to the ratio, so do all together; the fixed number is divided among them.
 */
import type { SlidingWindow } from '@arbutustray/core'
import { createSlidingWindow } from '@arbutustray/core'

export interface RetryBudget {
  readonly recordRequest: (service: string, now: number) => void
  /** Uses up one retry of the budget; returns false if none is left. */
  readonly tryAcquire: (service: string, now: number) => boolean
}

export interface RetryBudgetBound {
  /** Retries per request. */
  readonly ratio: number
  /** Retries in a window regardless of the number of requests, for all instances together. */
  readonly extra: number
  readonly windowMs: number
}

/**
 * Share of the bound that is used. The rest covers instances that start or end in a window, and windows that don't start
 * at the same time on all instances.
 */
const USED_SHARE = 0.8

const REQUESTS = 0
const RETRIES = 1
const COUNTERS = 2

export function createRetryBudget (bound: RetryBudgetBound, instances: () => number): RetryBudget {
  const windows = new Map<string, SlidingWindow>()

  function windowOf (service: string): SlidingWindow {
    let window = windows.get(service)
    if (window === undefined) windows.set(service, window = createSlidingWindow(COUNTERS, bound.windowMs))
    return window
  }

  return {
    recordRequest: (service, now) => windowOf(service).add(REQUESTS, now),
    tryAcquire: (service, now) => {
      const window = windowOf(service)
      const allowed = USED_SHARE * (bound.ratio * window.sum(REQUESTS, now) + bound.extra / instances())
      if (window.sum(RETRIES, now) + 1 > allowed) return false
      window.add(RETRIES, now)
      return true
    }
  }
}
