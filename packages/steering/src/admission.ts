/**
 * Admission control: decides whether to send a request to the upstream that was chosen for it or to refuse it.
 *
 * When more work arrives than the warm upstreams can finish, queues grow until all answers come late. A request that
 * can't be answered in time is therefore refused at once, with the time after which its caller should retry. Requests
 * of lower priority are refused first.
 */
import type { StopLimits } from './stop-schedule.js'
import type { LoadReport } from './upstream.js'

export interface Admission {
  readonly admitted: boolean
  /** Time after which the caller of a refused request should retry, in milliseconds. */
  readonly retryAfterMs: number
}

export interface AdmissionQuery {
  /** Expected time until the answer of the chosen upstream, in milliseconds: round trip, work and wait for a slot. */
  readonly expectedMs: number
  /** Time until the request's final answer is due, in milliseconds. */
  readonly remainingMs: number
  /** Target latency of the route, in milliseconds. */
  readonly objectiveMs: number
  /** No other route to the same services has a higher priority. */
  readonly hasTopPriority: boolean
  /**
   * The caller probably retries after a refusal: it states a shorter deadline than usual for the route. Such a request
   * is admitted at longer expected times, as it has already been refused once.
   */
  readonly isLikelyCallerRetry: boolean
}

/**
 * Longest expected time at which a request without top priority is admitted, as a multiple of its route's objective.
 * It keeps queues so short that requests with top priority, which are admitted whenever they can be answered before
 * their own deadline, find a place.
 */
const MAX_LOWER_PRIORITY_OBJECTIVES = 1.7
/** Added to `MAX_LOWER_PRIORITY_OBJECTIVES` for a likely retry of a caller, as a multiple of the route's objective. */
const CALLER_RETRY_EXTRA_OBJECTIVES = 0.8
/** Shortest time after which a refused caller is asked to retry, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200
/** Longest time after which a refused caller is asked to retry, in milliseconds. */
export const MAX_RETRY_AFTER_MS = 2_000
/** Retry time for a refusal by an instance that stops; short because another instance serves the retry. */
export const STOPPING_RETRY_AFTER_MS = 50
/**
 * Retry time after the refusal of an upstream that has free slots, in milliseconds. Waiting does not raise the chance that the
 * retry is accepted, but makes its answer late.
 */
export const IDLE_REFUSAL_RETRY_AFTER_MS = 50
/** Retry time for a refusal without an estimate of when a slot becomes free, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 300

/** Compares the expected time until the answer with the request's deadline and the limit of its priority. */
export function admit ({ expectedMs, remainingMs, objectiveMs, hasTopPriority, isLikelyCallerRetry: isCallerRetry }: AdmissionQuery): Admission {
  const limitMs = hasTopPriority ? Infinity : (MAX_LOWER_PRIORITY_OBJECTIVES + (isCallerRetry ? CALLER_RETRY_EXTRA_OBJECTIVES : 0)) * objectiveMs
  const excessMs = expectedMs - Math.min(remainingMs, limitMs)
  return { admitted: excessMs <= 0, retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessMs)) }
}

/**
 * Whether an upstream that refused a request reports free slots: it is failing, not full. Load pattern: upstreams of which
 * each refuses a part of the requests for some seconds, at usual demand.
 */
export function isIdleRefusal (load: LoadReport | undefined): boolean {
  return load !== undefined && load.running + load.waiting < load.slots
}

/**
 * Whether a stopping instance may take a request. Late in the stop the request's own time must be up before the process
 * ends, because its upstream may take all of it.
 */
export function canEndBeforeStop ({ guaranteedFrom, endsAt }: StopLimits, { expectedAt, expiresAt }: { readonly expectedAt: number, readonly expiresAt: number }, now: number): boolean {
  return (now < guaranteedFrom ? expectedAt : expiresAt) <= endsAt
}
