/**
 * Commands that the steering engine returns. The program around it carries them out in order.
 */
import type { Refusal } from './refusal.js'

/** The estimates that an upstream was chosen by, for the request log. */
export interface PlacementBasis {
  readonly upstreamId: string
  /** Position among the candidates, from 0. */
  readonly rank: number
  /** Estimated number of requests that run or wait at the upstream. */
  readonly load: number
  /** Age of the upstream's newest load report, in milliseconds. */
  readonly loadAgeMs: number
  /** Estimated slowdown of the upstream: duration of work relative to the usual duration. Logged as `pace`. */
  readonly slowdown: number
  /** Expected time until the answer, in milliseconds: round trip, work and wait for a slot. */
  readonly expectedMs: number
  readonly kind: PlacementKind
  /** The upstream is in another region than the first candidate. */
  readonly isElsewhere: boolean
}

/**
 * `ranked`: by the ranking of the request's object, or among all upstreams without one. `divided`: one of several upstreams
 * of a popular object. `spread`: the route has no affinity.
 */
export type PlacementKind = 'ranked' | 'divided' | 'spread'

/** Sends a request to an upstream. */
export interface Dispatch {
  readonly type: 'dispatch'
  readonly requestId: string
  readonly attemptId: string
  /** Name of the request's route. */
  readonly route: string
  readonly upstreamId: string
  readonly zone: string
  readonly address: string
  /** Name of the team that sent the request, in a deployment with teams. */
  readonly team?: string
  /** Time in which the upstream must answer, in milliseconds. */
  readonly timeoutMs: number
  /** Close the connection after the answer. */
  readonly singleUse: boolean
  readonly basis: PlacementBasis
}

/** Ends an attempt whose answer is no longer wanted. */
export interface Cancel { readonly type: 'cancel', readonly attemptId: string }

/** Passes this attempt's answer to the caller. */
export interface Relay {
  readonly type: 'relay'
  readonly requestId: string
  readonly attemptId: string
  /** Name of the request's route. */
  readonly route: string
}

/** Answers a request without an upstream's answer. */
export interface Respond {
  readonly type: 'respond'
  readonly requestId: string
  readonly status: number
  readonly reason: Refusal
  /** Name of the request's route; `undefined` if none matches. */
  readonly route: string | undefined
  /** Name of the team that sent the request, if it is known. */
  readonly team?: string
  /** Time after which the caller should retry, in milliseconds. Only with a status that promises that nothing ran. */
  readonly retryAfterMs?: number
  /** The chosen upstream, if admission refused the request. */
  readonly basis?: PlacementBasis
}

/** Sends a health probe to an upstream. */
export interface Probe {
  readonly type: 'probe'
  readonly upstreamId: string
  readonly address: string
  readonly healthPath: string
}

/** Reports a change of the engine's state, for the log and the metrics. */
export interface Note {
  readonly type: 'note'
  readonly subject: 'upstream-suspect' | 'upstream-restored' | 'upstream-removed' | 'upstream-missing' | 'upstream-added' | 'upstream-draining' | 'upstream-limited' | 'upstream-leaving' | 'upstream-paused' | 'deployment' | 'team-key-conflict' | 'evacuation'
  readonly id: string
  readonly detail: string
}

export type SteeringCommand = Dispatch | Cancel | Relay | Respond | Probe | Note
