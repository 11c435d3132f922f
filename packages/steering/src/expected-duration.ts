/**
 * Estimates how long the work for a request of each route usually takes, as a moving average over all answers without an
 * error status. Answers of cold and slow upstreams count too, as does the time spent waiting for a slot.
 */
import type { Route } from './deployment.js'

export interface ExpectedDuration {
  /** Usual duration in milliseconds, without the network. */
  readonly estimateMs: (route: Route) => number
  readonly record: (route: Route, durationMs: number) => void
}

/** Duration that is assumed before the first answer, relative to the route's objective. */
const ASSUMED_SHARE = 0.5
/** Weight of a new duration in the average. */
const NEW_DURATION_WEIGHT = 0.05
/** Limit on a new duration, relative to the average: a few requests take many times longer than the rest. */
const MAX_RATIO = 3

export function createExpectedDuration (): ExpectedDuration {
  const durations = new Map<string, number>()
  const estimateMs = (route: Route): number => durations.get(route.name) ?? route.objectiveMs * ASSUMED_SHARE
  return {
    estimateMs,
    record: (route, durationMs) => {
      const current = estimateMs(route)
      durations.set(route.name, current + NEW_DURATION_WEIGHT * (Math.min(durationMs, current * MAX_RATIO) - current))
    }
  }
}
