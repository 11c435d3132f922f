/**
 * Limits the requests per second that a cold upstream gets while it warms up. The limit holds over all instances: each
 * one uses only its share of it, and the window is a little longer than a second.
 */
import type { InstanceShare } from './instance-share.js'
import type { Upstream } from './upstream.js'

export interface ColdRateLimit {
  /**
   * Whether this instance may start one more attempt at the upstream. Always true for a warm upstream.
   * `totalRequestsPerSecond` limits the attempts of all instances together.
   */
  readonly allows: (upstream: Upstream, totalRequestsPerSecond: number, now: number) => boolean
  /** Counts the start of an attempt. */
  readonly recordAttempt: (upstream: Upstream, now: number) => void
}

/** Length of the window in milliseconds: a second, and the spread of the delays between an instance and an upstream. */
const WINDOW_MS = 1_250

export function createColdRateLimit (share: InstanceShare): ColdRateLimit {
  return {
    allows: (upstream, totalRequestsPerSecond, now) => {
      if (now >= upstream.coldUntil) return true
      const attemptTimes = upstream.coldAttemptTimes
      while (attemptTimes.length > 0 && attemptTimes[0] <= now - WINDOW_MS) attemptTimes.shift()
      return attemptTimes.length < share.instanceLimit(upstream.id, totalRequestsPerSecond)
    },
    recordAttempt: (upstream, now) => {
      upstream.coldAttemptTimes.push(now)
      while (upstream.coldAttemptTimes.length > 0 && upstream.coldAttemptTimes[0] <= now - WINDOW_MS) upstream.coldAttemptTimes.shift()
    }
  }
}
