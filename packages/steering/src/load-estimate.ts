/**
 * Estimates how long an upstream would take for one more request. Reports lag and describe a moment, so they fade with
 * age; the instance's own outstanding requests are always current.
 */
import type { LoadReport, Upstream } from './upstream.js'

/** Age in milliseconds at which half of a reported foreign load is still believed. */
const LOAD_HALF_LIFE_MS = 800
/** Age at which half of a reported slowdown is still believed. It changes many times per second. */
const REPORTED_HALF_LIFE_MS = 200
/** Time in which a measured pace is half forgotten. */
const MEASURED_HALF_LIFE_MS = 2_000
/** Weight of a new measurement of the pace. */
const MEASUREMENT_WEIGHT = 0.3
/** Largest measured pace. A stalled connection says nothing about the speed beyond this. */
const MAX_MEASURED_SLOWDOWN = 10

function decayFactor (age: number, halfLife: number): number {
  return age <= 0 ? 1 : 2 ** (-age / halfLife)
}

/** Requests that run or wait at the upstream. */
export function estimateLoad (upstream: Upstream, now: number): number {
  return upstream.outstanding + upstream.otherInstancesLoad * decayFactor(now - upstream.reportedAt, LOAD_HALF_LIFE_MS)
}

/** Duration of work relative to the usual duration. */
export function estimateSlowdown (upstream: Upstream, now: number): number {
  const slowdown = 1 + (upstream.reportedSlowdown - 1) * decayFactor(now - upstream.reportedAt, REPORTED_HALF_LIFE_MS)
  const pace = 1 + (upstream.measuredSlowdown - 1) * decayFactor(now - upstream.slowdownMeasuredAt, MEASURED_HALF_LIFE_MS)
  return Math.max(slowdown, pace)
}

/** Takes an upstream's report. `outstanding` must already exclude the request whose answer carried it. */
export function recordLoadReport (upstream: Upstream, report: LoadReport, now: number): void {
  upstream.otherInstancesLoad = Math.max(0, report.running + report.waiting - upstream.outstanding)
  upstream.reportedSlowdown = report.slowdown
  upstream.reportedAt = now
}

/** Takes a measured duration relative to the expected one. */
export function recordMeasuredSlowdown (upstream: Upstream, ratio: number, now: number): void {
  const current = 1 + (upstream.measuredSlowdown - 1) * decayFactor(now - upstream.slowdownMeasuredAt, MEASURED_HALF_LIFE_MS)
  upstream.measuredSlowdown = current + MEASUREMENT_WEIGHT * (Math.min(ratio, MAX_MEASURED_SLOWDOWN) - current)
  upstream.slowdownMeasuredAt = now
}

/** Time in milliseconds that a new request waits for a slot. */
export function estimateWaitMs (upstream: Upstream, serviceMs: number, now: number): number {
  const ahead = estimateLoad(upstream, now) + 1 - upstream.entry.slots
  return ahead <= 0 ? 0 : ahead / Math.max(1, upstream.entry.slots) * serviceMs
}
