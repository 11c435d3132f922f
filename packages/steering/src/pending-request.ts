/**
 * Requests that have no answer yet, and their attempts.
 */
import type { Route } from './deployment.js'

/** One attempt at an upstream. */
export interface Attempt {
  readonly id: string
  readonly requestId: string
  readonly upstreamId: string
  readonly startedAt: number
  readonly expectedMs: number
}

/** A row of the request table. Times are on the monotonic clock. */
export interface PendingRequest {
  readonly id: string
  readonly route: Route
  readonly service: string
  readonly objectKey: string | undefined
  readonly receivedAt: number
  /** When the request gets its final answer at the latest. */
  readonly expiresAt: number
  readonly attempts: Map<string, Attempt>
  readonly tried: Set<string>
  /** Attempts that may have run. */
  possibleRuns: number
  /** All attempts. */
  dispatches: number
  /** Attempt with an upstream's own failure, which is passed on if no later attempt succeeds. */
  errorAttemptId: string | undefined
  hedged: boolean
}
