/**
 * The one place where the decision package reads time. It is the runtime's monotonic clock, so a step of the
 * wall clock changes no expiry, and tests pause and advance it.
 */

/** Milliseconds on the monotonic clock of this process. Comparable only inside this process. */
export function monotonicNow (): number {
  return performance.now()
}

/** Milliseconds since the Unix epoch. Used in records for people, never for an expiry. */
export function wallNow (): number {
  return Date.now()
}
