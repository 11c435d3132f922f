/**
 * The configuration that an operator deploys: routes, services and limits for callers. Times are in milliseconds.
 */

/** `upload` requests carry large bodies and, like `non-idempotent` ones, must not run more than once. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'upload'

/** One service of a route and its share of the requests. */
export interface RoutePart {
  readonly service: string
  /** Relative to the sum of the weights of the route's parts. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Longest time until a request gets its final answer. */
  readonly timeoutMs: number
  /** Target latency: an answer within this time is on time. */
  readonly objectiveMs: number
  /**
   * Limit on the attempts of a request that may have run at their upstream (`PendingRequest.possibleRuns`). Attempts
   * that provably did not run don't count; they fall under the limit on all dispatches.
   */
  readonly attempts: number
  /** 0 is the highest priority. */
  readonly priority: number
  /** At least one. */
  readonly parts: readonly RoutePart[]
  /** Regions that may serve the route; empty for all. */
  readonly homeRegions: readonly string[]
  /** Requests without an API key are allowed, in a deployment with teams. */
  readonly allowsAnonymous: boolean
  /** An upstream that recently handled an object needs less work for it. */
  readonly hasAffinity: boolean
}

/** Limit on the requests of a team over all instances: a token bucket. */
export interface Quota {
  /** Sustained rate, in requests per second. */
  readonly ratePerSecond: number
  /** Requests in addition to the sustained rate. */
  readonly burst: number
}

/** A team whose requests are identified by API keys. */
export interface Team {
  readonly name: string
  readonly apiKeys: readonly string[]
  /** Compared before the priority of the route; 0 is the highest. */
  readonly priority: number
  /** `undefined` without a limit. */
  readonly quota: Quota | undefined
  /** Regions that may serve the team's requests; empty for all. If the route has home regions too, both apply. */
  readonly homeRegions: readonly string[]
}

export interface Service {
  readonly name: string
  readonly healthPath: string
  /** Connections that one upstream accepts from all instances together. */
  readonly connectionLimit: number
  /** Time for which an upstream is cold after its start. */
  readonly coldMs: number
  /** Requests per second that a cold upstream can handle. */
  readonly coldRate: number
}

/** Limits on the size of a caller's requests and on the time that it takes to send them. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

export interface Deployment {
  /** Increases with each change, not necessarily by one. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
  /** `undefined` if requests are not identified; API keys are then ordinary headers. */
  readonly teams: readonly Team[] | undefined
}

/** Whether a request of the kind may run more than once. */
export const IS_IDEMPOTENT: { readonly [K in RequestKind]: boolean } = {
  idempotent: true, 'non-idempotent': false, upload: false
}
