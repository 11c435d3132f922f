/**
 * Upstreams: what the service registry says of them, and what this instance has learned by using them.
 */

/** One entry of the service registry. */
export interface UpstreamEntry {
  /** Identity of one incarnation. */
  readonly id: string
  readonly service: string
  /** `host:port`. */
  readonly address: string
  readonly zone: string
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Remaining cold time in milliseconds when the entry was written. */
  readonly coldMs: number
  /** Wall-clock start of the process in milliseconds; 0 if it is not stated. */
  readonly bornAt: number
}

/** An upstream's own report of its load. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Duration of work on its host at present, relative to the usual duration. */
  readonly slowdown: number
}

/** A row of the upstream table. Times are on the monotonic clock. */
export interface Upstream {
  readonly id: string
  entry: UpstreamEntry
  readonly region: string
  readonly idHash: number
  coldUntil: number
  /** Since when the registry lacks the entry after an outage of the store; such a row is still used for a while. */
  missingSince: number | undefined
  /** Attempts of this instance that have not ended. */
  outstanding: number
  /** Requests in the upstream at the newest report, less the instance's own ones. */
  otherInstancesLoad: number
  reportedSlowdown: number
  reportedAt: number
  /** Smoothed ratio of measured to expected duration; 1 is usual. */
  measuredSlowdown: number
  slowdownMeasuredAt: number
  /** Failures in a row that say something about reachability. */
  failureScore: number
  /** Set while the upstream is believed to be unreachable or unhealthy. */
  suspectSince: number | undefined
  nextProbeAt: number
  /** Recent starts of attempts while cold, oldest first. */
  coldAttemptTimes: number[]
  /** Until when connections are not reused for non-repeatable requests, because answers came out of order. */
  noConnectionReuseUntil: number
}
