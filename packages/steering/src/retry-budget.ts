/**
 * Bounds the arrivals at a service beyond the first of each request. The bound is a share of the requests plus a fixed
 * allowance over a window, summed over all instances: the share holds in sum when each instance keeps to it, and the
 * fixed part is divided.
 */
import type { SlidingWindow } from '@arbutustray/core'
import { createSlidingWindow } from '@arbutustray/core'

export interface RetryBudget {
  readonly recordRequest: (service: string, now: number) => void
  /** Takes one further arrival; false if none is left. */
  readonly tryTake: (service: string, now: number) => boolean
}

export interface RetryBudgetBound {
  /** Further arrivals per request. */
  readonly ratio: number
  /** Further arrivals in a window regardless of the requests, over all instances. */
  readonly extra: number
  readonly windowMs: number
}

/** Part of the bound that is used. The rest covers instances that start and end in the window and shifts of its edges. */
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
    tryTake: (service, now) => {
      const window = windowOf(service)
      const allowed = USED_SHARE * (bound.ratio * window.sum(REQUESTS, now) + bound.extra / instances())
      if (window.sum(RETRIES, now) + 1 > allowed) return false
      window.add(RETRIES, now)
      return true
    }
  }
}
