/**
 * Records of the requests that have no final answer yet and of their attempts. Times are on the monotonic clock.
 */
import type { Route, Team } from './deployment.js'

/** One dispatch of a request to an upstream. */
export interface Attempt {
  readonly id: string
  readonly requestId: string
  readonly upstreamId: string
  readonly startedAt: number
  /** Usual duration of the route's work when the attempt started, in milliseconds. */
  readonly expectedWorkMs: number
}

/** A request without a final answer. */
export interface PendingRequest {
  readonly id: string
  readonly route: Route
  /** `undefined` for an anonymous request and in a deployment without teams. */
  readonly team: Team | undefined
  /** Regions that may serve the request, by its route and its team; empty for all. */
  readonly homeRegions: readonly string[]
  readonly service: string
  readonly objectKey: string | undefined
  readonly receivedAt: number
  /** Latest time of the final answer. */
  readonly expiresAt: number
  /** Open attempts by id. */
  readonly attempts: Map<string, Attempt>
  /** Ids of the upstreams that the request was sent to. */
  readonly tried: Set<string>
  /** Number of ended attempts that may have run. */
  possibleRuns: number
  /** Number of all attempts so far, open and ended. */
  dispatches: number
  /** Id of an attempt that was answered with an error status; its answer is relayed if no later attempt succeeds. */
  errorAttemptId: string | undefined
  /** The newest refusal came from an upstream with free slots. */
  wasRefusedByIdle: boolean
  /** The request was once slow enough to be hedged. It is not considered again, even if no hedge was sent. */
  hedgeConsidered: boolean
}
