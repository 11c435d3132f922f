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

/** Length of the window in milliseconds: a second plus the variation of the delay with which attempts reach the upstream. */
const WINDOW_MS = 1_250

export function createColdRateLimit (share: InstanceShare): ColdRateLimit {
  return {
    allows: (upstream, totalRequestsPerSecond, now) => {
      if (now >= upstream.coldUntil) return true
      const attemptTimes = upstream.recentAttemptTimes
      while (attemptTimes.length > 0 && attemptTimes[0] <= now - WINDOW_MS) attemptTimes.shift()
      return attemptTimes.length < share.instanceLimit(upstream.id, totalRequestsPerSecond)
    },
    recordAttempt: (upstream, now) => {
      upstream.recentAttemptTimes.push(now)
      while (upstream.recentAttemptTimes.length > 0 && upstream.recentAttemptTimes[0] <= now - WINDOW_MS) upstream.recentAttemptTimes.shift()
    }
  }
}
