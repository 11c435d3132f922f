/**
 * Accounts for traffic that is served outside its rule's scope, by service and origin zone. Each instance keeps the
 * share of its own traffic under the cap, so the sum over all instances stays under it without coordination.
 *
 * There is no allowance above the cap: with a cap of 0.2 the fifth request of a window is the first that may move.
 * At every move the moved requests of the window are at most the cap times all of its requests. It follows that the
 * moved requests since the start are always at most the cap times all requests since the start.
 */
import type { Rule } from '../configuration.js'
import type { World } from '../tables.js'
import type { SlidingWindow } from './sliding-window.js'
import { createConfigurationIndex } from './configuration-index.js'
import { createSlidingWindow } from './sliding-window.js'

/** Decides which requests may move out of their scope. Times are monotonic milliseconds. */
export interface ShiftMeter {
  /** Counts a request of the origin zone, wherever it will be served. */
  readonly recordRequest: (service: string, originZone: string, now: number) => void
  /** Whether one more request may be served in `toZone`. Always true inside the scope and without a rule. */
  readonly mayMove: (service: string, originZone: string, toZone: string, now: number) => boolean
  /** Counts a request that was sent to `toZone`. */
  readonly recordMove: (service: string, originZone: string, toZone: string, now: number) => void
}

/** Counter of all requests. */
const TOTAL = 0
/** Counters of the moves out of each scope. Both are kept, so that a change of the rule's scope holds at once. */
const MOVED_OUT_OF: { readonly [S in Rule['scope']]: number } = { zone: 1, region: 2 }
const COUNTERS = 3

/** Creates the meter of one instance, with empty windows. */
export function createShiftMeter (world: World): ShiftMeter {
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
