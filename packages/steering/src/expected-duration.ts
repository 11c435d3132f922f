/**
 * Usual duration of the work of each route, learned from answers.
 */
import type { Route } from './deployment.js'

export interface ExpectedDuration {
  /** In milliseconds, without the network. */
  readonly estimateMs: (route: Route) => number
  readonly record: (route: Route, durationMs: number) => void
}

/** Share of the objective that is assumed before the first answer. */
const ASSUMED_SHARE = 0.5
const SMOOTHING = 0.05
/** Longest duration that counts, relative to the smoothed one. A few requests take many times longer than the rest. */
const MAX_RATIO = 3

export function createExpectedDuration (): ExpectedDuration {
  const durations = new Map<string, number>()
  const of = (route: Route): number => durations.get(route.name) ?? route.objectiveMs * ASSUMED_SHARE
  return {
    estimateMs: of,
    record: (route, durationMs) => {
      const current = of(route)
      durations.set(route.name, current + SMOOTHING * (Math.min(durationMs, current * MAX_RATIO) - current))
    }
  }
}
