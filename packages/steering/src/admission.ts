/**
 * Admission control: decides whether to send a request to the upstream that was chosen for it or to refuse it.
 *
 * When more work arrives than the warm upstreams can finish, queues grow until all answers come late. A request that
 * can't be answered in time is therefore refused at once, with the time after which its caller should retry. Requests
 * of lower priority are refused first.
 */
export interface Admission {
  readonly admitted: boolean
  /** Time after which the caller of a refused request should retry, in milliseconds. */
  readonly retryAfterMs: number
}

export interface AdmissionQuery {
  /** Expected time until the answer of the chosen upstream, in milliseconds. */
  readonly expectedMs: number
  /** Time until the request's final answer is due, in milliseconds. */
  readonly remainingMs: number
  /** Target latency of the route, in milliseconds. */
  readonly objectiveMs: number
  /** No other route to the same services has a higher priority. */
  readonly hasTopPriority: boolean
  /** The caller retries after a refusal. */
  readonly isCallerRetry: boolean
}

/**
 * Longest expected time at which a request without top priority is admitted, in objectives of its route. Requests with
 * top priority are admitted as long as they can be answered before their end; this limit keeps the queues short enough.
 */
const MAX_LOWER_PRIORITY_OBJECTIVES = 1.7
/** Added to that limit for a caller that retries after a refusal, in objectives. */
const CALLER_RETRY_EXTRA_OBJECTIVES = 0.8
/** Shortest time after which a refused caller is asked to retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200
/** Longest time after which a refused caller is asked to retry, in milliseconds. */
const MAX_RETRY_AFTER_MS = 2_000
/** Retry time for a refusal without an estimate of when a slot becomes free, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 300

/** Compares the expected time until the answer with the request's deadline and the limit of its priority. */
export function admit ({ expectedMs, remainingMs, objectiveMs, hasTopPriority, isCallerRetry }: AdmissionQuery): Admission {
  const limitMs = hasTopPriority ? Infinity : (MAX_LOWER_PRIORITY_OBJECTIVES + (isCallerRetry ? CALLER_RETRY_EXTRA_OBJECTIVES : 0)) * objectiveMs
  const excessMs = expectedMs - Math.min(remainingMs, limitMs)
  return { admitted: excessMs <= 0, retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessMs)) }
}
