/**
 * Commands: the outputs of the engine. The embedding program executes them in order.
 */
import type { RecordedAnswer } from './event.js'
import type { Heartbeat } from './heartbeat.js'
import type { Outcome, Reason } from './reason.js'

/** Sends the request to an upstream. */
export interface Dispatch {
  readonly type: 'dispatch'
  readonly requestId: string
  readonly attemptId: string
  readonly upstreamId: string
  readonly address: string
  /** Time left until the deadline, in milliseconds. */
  readonly timeoutMs: number
}

/** Forwards the request to another entry instance. */
export interface Forward {
  readonly type: 'forward'
  readonly requestId: string
  readonly attemptId: string
  readonly instanceId: string
  /** Peer address of the instance. */
  readonly address: string
  /** Time left until the deadline, in milliseconds. */
  readonly timeoutMs: number
  readonly originZone: string
  readonly tenant: string
  /** The request is forwarded because the receiver issued its idempotency key. */
  readonly keyHome: boolean
}

/** Aborts an attempt. Later events of the attempt are ignored. */
export interface CancelAttempt { readonly type: 'cancel-attempt', readonly attemptId: string }

/** Streams this attempt's answer to the caller. */
export interface Relay {
  readonly type: 'relay'
  readonly requestId: string
  readonly attemptId: string
  readonly reason: Reason
}

/** Sends the caller the recorded answer of an earlier request with the same idempotency key. */
export interface Replay {
  readonly type: 'replay'
  readonly requestId: string
  readonly answer: RecordedAnswer
}

/** Sends the caller an answer that the entry instance generates. */
export interface Respond {
  readonly type: 'respond'
  readonly requestId: string
  readonly outcome: Outcome
  readonly reason: Reason
  /** HTTP status. */
  readonly status: number
  readonly retryAfterMs?: number
}

/** Resets the caller's stream after a failure, because part of an answer was already sent. */
export interface Reset { readonly type: 'reset', readonly requestId: string, readonly reason: Reason }

/** Sends a heartbeat. */
export interface SendHeartbeat {
  readonly type: 'send-heartbeat'
  readonly instanceId: string
  readonly address: string
  readonly heartbeat: Heartbeat
}

/** Requests the configuration, or its changes after `sinceVersion`, from a peer. */
export interface PullConfiguration {
  readonly type: 'pull-configuration'
  readonly instanceId: string
  readonly address: string
  readonly sinceVersion: number
}

/** Requests the list of known instances and upstreams from a peer. */
export interface PullList {
  readonly type: 'pull-list'
  readonly instanceId: string
  readonly address: string
}

/** Reports that the planned stop is complete, so the ports may be closed. */
export interface Stopped { readonly type: 'stopped' }

export type Command =
  | Dispatch | Forward | CancelAttempt | Relay | Replay | Respond | Reset | SendHeartbeat | PullConfiguration |
  PullList | Stopped
