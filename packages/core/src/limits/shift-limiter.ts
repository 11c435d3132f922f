/**
 * Limits shifted traffic by service and origin zone. A request is moved if it is served in another zone than its origin
 * zone, and shifted if that zone is also outside the scope of the service's rule (the origin zone or its region). Each
 * instance keeps the shifted share of its own requests under the rule's cap, so the sum over all instances stays under
 * it without coordination.
 *
 * There is no burst allowance: with a cap of 0.2 the fifth request of a window is the first that may be shifted. At
 * every shift the shifted requests of the window are at most the cap times all requests of the window. It follows that
 * the shifted requests since the start are always at most the cap times all requests since the start.
 */
import type { Rule } from '../configuration.js'
import type { World } from '../tables.js'
import type { SlidingWindow } from './sliding-window.js'
import { createConfigurationIndex } from './configuration-index.js'
import { createSlidingWindow } from './sliding-window.js'

/** Decides which requests may be served in another zone than their origin zone. Times are monotonic milliseconds. */
export interface ShiftLimiter {
  /** Counts a request that originated in the zone, wherever it will be served. */
  readonly recordRequest: (service: string, originZone: string, now: number) => void
  /**
   * Whether one more request may be served in `toZone`. Only moves that are shifts are limited, so the result is always
   * true inside the rule's scope and without a rule.
   */
  readonly mayMove: (service: string, originZone: string, toZone: string, now: number) => boolean
  /** Counts a request that is served in `toZone`, when that is not the origin zone, whether or not it is shifted. */
  readonly recordMove: (service: string, originZone: string, toZone: string, now: number) => void
}

/** Counter of all requests, moved or not. */
const TOTAL = 0
/** Counters of requests that left each scope. Both are kept, so that a change of the rule's scope applies at once. */
const MOVED_OUT_OF: { readonly [S in Rule['scope']]: number } = { zone: 1, region: 2 }
const COUNTERS = 3

/** Creates the shift limiter of one entry instance, with empty windows. */
export function createShiftLimiter (world: World): ShiftLimiter {
  const configuration = createConfigurationIndex(world)
  const windows = new Map<string, SlidingWindow>()

  function windowOf (service: string, originZone: string): SlidingWindow {
    const key = `${service}@${originZone}`
    let window = windows.get(key)
    if (window === undefined) windows.set(key, window = createSlidingWindow(COUNTERS))
    return window
  }

  function leavesRegion (originZone: string, toZone: string): boolean {
    const region = configuration.zone(originZone)?.region
    return region === undefined || region !== configuration.zone(toZone)?.region
  }

  return {
    recordRequest: (service, originZone, now) => windowOf(service, originZone).add(TOTAL, now),
    mayMove: (service, originZone, toZone, now) => {
      const rule = configuration.rule(service)
      if (rule === undefined || originZone === toZone) return true
      if (rule.scope === 'region' && !leavesRegion(originZone, toZone)) return true
      const window = windowOf(service, originZone)
      return window.sum(MOVED_OUT_OF[rule.scope], now) + 1 <= rule.shiftCap * window.sum(TOTAL, now)
    },
    recordMove: (service, originZone, toZone, now) => {
      if (originZone === toZone) return
      const window = windowOf(service, originZone)
      window.add(MOVED_OUT_OF.zone, now)
      if (leavesRegion(originZone, toZone)) window.add(MOVED_OUT_OF.region, now)
    }
  }
}
