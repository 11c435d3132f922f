/**
 * Estimates the load and the slowdown of an upstream and how long a new request would wait there. Load reports arrive
 * late and describe a single moment, so their weight halves at fixed intervals; the count of this instance's own
 * outstanding requests is always current.
 */
import type { LoadReport, Upstream } from './upstream.js'

/** Age at which the reported load of other instances counts half, in milliseconds. */
const REPORTED_LOAD_HALF_LIFE_MS = 800
/** Age at which a reported slowdown counts half, in milliseconds. Slowdowns change many times per second. */
const REPORTED_SLOWDOWN_HALF_LIFE_MS = 200
/** Age at which a measured slowdown counts half, in milliseconds. */
const MEASURED_SLOWDOWN_HALF_LIFE_MS = 2_000
/** Weight of a new measurement in the moving average of the measured slowdown. */
const MEASUREMENT_WEIGHT = 0.3
/** Largest slowdown that is recorded. A stalled connection would otherwise dominate the average. */
const MAX_MEASURED_SLOWDOWN = 10

/** Weight of a value of the given age: 1 when new, halved with each half-life. */
function decayFactor (age: number, halfLife: number): number {
  return age <= 0 ? 1 : 2 ** (-age / halfLife)
}

/** Estimated number of requests that run or wait at the upstream. */
export function estimateLoad (upstream: Upstream, now: number): number {
  return upstream.outstanding + upstream.otherInstancesLoad * decayFactor(now - upstream.reportedAt, REPORTED_LOAD_HALF_LIFE_MS)
}

/** Estimated duration of work relative to the usual duration: the larger of the reported and the measured slowdown. */
export function estimateSlowdown (upstream: Upstream, now: number): number {
  const reported = 1 + (upstream.reportedSlowdown - 1) * decayFactor(now - upstream.reportedAt, REPORTED_SLOWDOWN_HALF_LIFE_MS)
  const measured = 1 + (upstream.measuredSlowdown - 1) * decayFactor(now - upstream.slowdownMeasuredAt, MEASURED_SLOWDOWN_HALF_LIFE_MS)
  return Math.max(reported, measured)
}

/** Stores a load report. `outstanding` must already exclude the request whose answer carried the report. */
export function recordLoadReport (upstream: Upstream, report: LoadReport, now: number): void {
  upstream.otherInstancesLoad = Math.max(0, report.running + report.waiting - upstream.outstanding)
  upstream.reportedSlowdown = report.slowdown
  upstream.reportedAt = now
}

/** Adds a measured duration, relative to the expected one, to the smoothed slowdown. */
export function recordMeasuredSlowdown (upstream: Upstream, ratio: number, now: number): void {
  const current = 1 + (upstream.measuredSlowdown - 1) * decayFactor(now - upstream.slowdownMeasuredAt, MEASURED_SLOWDOWN_HALF_LIFE_MS)
  upstream.measuredSlowdown = current + MEASUREMENT_WEIGHT * (Math.min(ratio, MAX_MEASURED_SLOWDOWN) - current)
  upstream.slowdownMeasuredAt = now
}

/** Expected time that a new request waits for a slot, in milliseconds. */
export function estimateWaitMs (upstream: Upstream, workMs: number, now: number): number {
  const excess = estimateLoad(upstream, now) + 1 - upstream.entry.slots
  return excess <= 0 ? 0 : excess / Math.max(1, upstream.entry.slots) * workMs
}
