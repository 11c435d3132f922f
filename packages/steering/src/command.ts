/**
 * What the steering engine asks of the program around it. Commands are carried out in order.
 */
import type { Refusal } from './refusal.js'

/** What spoke for an upstream, for the log. */
export interface Basis {
  readonly upstreamId: string
  /** Position among the candidates, from 0. */
  readonly rank: number
  /** Requests that were taken to run or wait there. */
  readonly load: number
  /** Age of the upstream's newest report, in milliseconds. */
  readonly loadAgeMs: number
  /** Duration of work relative to the usual one. */
  readonly pace: number
  /** Time until the answer, as expected. */
  readonly expectedMs: number
}

/** Sends the request to an upstream. */
export interface Dispatch {
  readonly type: 'dispatch'
  readonly requestId: string
  readonly attemptId: string
  readonly upstreamId: string
  readonly zone: string
  readonly address: string
  /** Time that the upstream may take, in milliseconds. */
  readonly timeoutMs: number
  /** Close the connection after the answer. */
  readonly singleUse: boolean
  readonly basis: Basis
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

/** The system itself answers. */
export interface Respond {
  readonly type: 'respond'
  readonly requestId: string
  readonly status: number
  readonly reason: Refusal
  /** Name of the request's route; `undefined` if none matches. */
  readonly route: string | undefined
  /** When the caller should come back, in milliseconds. Only with statuses that state that nothing has run. */
  readonly retryAfterMs?: number
  /** The best upstream, when the request was refused although there is one. */
  readonly basis?: Basis
}

/** Asks an upstream for its health. */
export interface Probe {
  readonly type: 'probe'
  readonly upstreamId: string
  readonly address: string
  readonly healthPath: string
}

/** A belief of the engine changed; for the log. */
export interface Note {
  readonly type: 'note'
  readonly subject: 'upstream-suspect' | 'upstream-restored' | 'upstream-removed' | 'upstream-added' | 'upstream-draining' | 'deployment' | 'evacuation'
  readonly id: string
  readonly detail: string
}

export type SteeringCommand = Dispatch | Cancel | Relay | Respond | Probe | Note
