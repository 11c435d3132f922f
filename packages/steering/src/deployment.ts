/**
 * What an operator has put in force: routes, services and the limits for callers. Times are in milliseconds.
 */

/** `upload` requests carry large bodies and are no more repeatable than `non-idempotent` ones. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'upload'

/** One service of a route and its share of the requests. */
export interface RoutePart {
  readonly service: string
  /** Relative to the sum over the parts of the route. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly kind: RequestKind
  /** Longest time that a request may be kept waiting. */
  readonly timeoutMs: number
  /** Time within which an answer earns its full worth. */
  readonly objectiveMs: number
  /** Upstreams on which one request may run. */
  readonly attempts: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** At least one. */
  readonly parts: readonly RoutePart[]
  /** Regions that may serve the route; empty for all. */
  readonly homeRegions: readonly string[]
}

export interface Service {
  readonly name: string
  readonly healthPath: string
  /** Connections that one upstream accepts from all instances together. */
  readonly connectionLimit: number
  /** How long an upstream is cold after its start. */
  readonly coldMs: number
  /** Requests per second that a cold upstream bears. */
  readonly coldRate: number
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

export interface Deployment {
  /** Increases with each change, in steps of any size. */
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly Service[]
  readonly limits: CallerLimits
}

/** Whether a request of the kind may run more than once. */
export const IS_IDEMPOTENT: { readonly [K in RequestKind]: boolean } = {
  idempotent: true, 'non-idempotent': false, upload: false
}
