/**
 * The only place where this package reads the time. Expiries use the runtime's monotonic clock, so that adjustments of
 * the system clock don't affect them. Tests replace both clocks by fake timers.
 */

/** Returns the milliseconds on the monotonic clock of this process. Comparable only within the process. */
export function monotonicNow (): number {
  return performance.now()
}

/** Returns the milliseconds since the Unix epoch, for records that people read. Not for expiries, except to end one earlier. */
export function wallNow (): number {
  return Date.now()
}
