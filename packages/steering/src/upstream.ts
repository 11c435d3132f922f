/**
 * Data about an upstream: its entry in the service registry and the state that this instance keeps about it.
 */

/** One entry of the service registry. */
export interface UpstreamEntry {
  /** Identity of the upstream. A replaced process may keep it, with another `bornAt` or `address`. */
  readonly id: string
  readonly service: string
  /** `host:port`. */
  readonly address: string
  readonly zone: string
  /** Requests that the upstream works on at once. */
  readonly slots: number
  readonly state: 'ready' | 'draining'
  /** Remaining cold time in milliseconds when the entry was written. */
  readonly coldMs: number
  /** Wall-clock start time of the process in milliseconds; 0 if unknown. */
  readonly bornAt: number
}

/** Load that an upstream reports with an answer or a probe. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** Current duration of work on the upstream's host, relative to the usual duration. */
  readonly slowdown: number
}

/** State of a stated limit at this instance. */
export interface LimitState {
  /** Requests per second from all instances together. */
  perSecond: number
  /** Requests that this instance may send now; a fraction counts towards the next one. */
  allowance: number
  allowanceAt: number
  /** Smoothed number of requests per second that this instance would send without the limit. */
  demand: number
  demandAt: number
  /** Demand at two earlier moments, the older one first, and when the newer one was recorded. */
  earlierDemands: readonly [number, number]
  recordedAt: number
  /** Requests per second of this instance; computed again after a moment. */
  part: number
  partAt: number
}

/** Requests per second for one upstream that an instance would send without the limit. */
export type UpstreamDemand = readonly [upstreamId: string, perSecond: number]

/** A row of the upstream table. Times are on the monotonic clock, in milliseconds. */
export interface Upstream {
  readonly id: string
  entry: UpstreamEntry
  readonly region: string
  /** Hash of the id, for rendezvous hashing. */
  readonly idHash: number
  /** Until then the rate limit for cold upstreams applies. */
  coldUntil: number
  /** End of the grace period of a row whose entry is missing from the registry after a store outage. */
  missingUntil: number | undefined
  /** Number of open attempts of this instance. */
  outstanding: number
  /** Requests at the upstream at the time of the newest load report, without those of this instance. */
  otherInstancesLoad: number
  /** Slowdown in the newest load report; 1 is the usual speed. */
  reportedSlowdown: number
  /** Time of the newest load report. */
  reportedAt: number
  /** Smoothed ratio of measured to expected duration; 1 is the usual speed. */
  measuredSlowdown: number
  slowdownMeasuredAt: number
  /** Weighted number of failed connections since the last answer. */
  failureScore: number
  /** Time at which the upstream became suspect: a failed connection or probe, or several resets without an answer between. */
  suspectSince: number | undefined
  nextProbeAt: number
  /** The upstream said in an answer that it is leaving; nothing but a new process ends this. */
  isLeaving: boolean
  /** Until then the upstream wants no requests from this instance. */
  pausedUntil: number
  /** Limit that the upstream's last answer states. */
  requestLimit: LimitState | undefined
  /** Start times of recent attempts, oldest first. Kept for warm upstreams too, but used only by the rate limit while cold. */
  recentAttemptTimes: number[]
  /** Until then a non-idempotent request's connection is closed after the answer, because an earlier answer was invalid or misassigned. */
  noConnectionReuseUntil: number
}
