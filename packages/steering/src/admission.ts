/**
 * Decides whether a request is worth sending to the best upstream that was found for it.
 *
 * Load pattern: more work arrives than the warm upstreams finish, so queues grow until all answers come late. A request
 * that can't be answered in time is refused at once, the less urgent ones first, and the caller learns when room is
 * expected.
 */
export interface Admission {
  readonly admitted: boolean
  /** When a refused request may come back, in milliseconds. */
  readonly retryAfterMs: number
}

export interface AdmissionQuery {
  /** Time until the answer, as expected at the best upstream, in milliseconds. */
  readonly expectedMs: number
  /** Time until the request's final answer is due, in milliseconds. */
  readonly remainingMs: number
  /** Objective of the route in milliseconds. */
  readonly objectiveMs: number
  /** No route of the service is more urgent. */
  readonly hasTopPriority: boolean
  /** The caller comes back after a refusal. */
  readonly isCallerRetry: boolean
}

/**
 * Longest expected time to an answer of less urgent requests, in objectives. They are refused while the queues are still
 * short enough for the urgent ones, which are admitted as long as they can be answered at all.
 */
const MAX_LOWER_PRIORITY_OBJECTIVES = 1.7
/** Added for a caller that was refused before and was told to come back. */
const CALLER_RETRY_EXTRA_OBJECTIVES = 0.8
/** Shortest and longest time that a refused caller is asked to wait, in milliseconds. */
const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 2_000
/** When nothing is known about the next free slot, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MS = 300

/** Judges a request by the time in which it is expected to be answered. */
export function admit ({ expectedMs, remainingMs, objectiveMs, hasTopPriority, isCallerRetry }: AdmissionQuery): Admission {
  const limitMs = hasTopPriority ? Infinity : (MAX_LOWER_PRIORITY_OBJECTIVES + (isCallerRetry ? CALLER_RETRY_EXTRA_OBJECTIVES : 0)) * objectiveMs
  const excessMs = expectedMs - Math.min(remainingMs, limitMs)
  return { admitted: excessMs <= 0, retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessMs)) }
}
