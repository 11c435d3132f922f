/**
 * What the engine asks of the program around it. Commands are carried out in order.
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

/** Sends the request to another entry instance. */
export interface Forward {
  readonly type: 'forward'
  readonly requestId: string
  readonly attemptId: string
  readonly instanceId: string
  /** Peer address of the instance. */
  readonly address: string
  readonly timeoutMs: number
  readonly originZone: string
  readonly tenant: string
  readonly keyHome: boolean
}

/** Aborts an attempt; its events are no longer wanted. */
export interface CancelAttempt { readonly type: 'cancel-attempt', readonly attemptId: string }

/** Passes this attempt's answer to the caller. */
export interface Relay {
  readonly type: 'relay'
  readonly requestId: string
  readonly attemptId: string
  readonly reason: Reason
}

/** Answers from a recorded answer. */
export interface Replay {
  readonly type: 'replay'
  readonly requestId: string
  readonly answer: RecordedAnswer
}

/** The system itself answers. */
export interface Respond {
  readonly type: 'respond'
  readonly requestId: string
  readonly outcome: Outcome
  readonly reason: Reason
  /** HTTP status. */
  readonly status: number
  readonly retryAfterMs?: number
}

/** Resets the caller's exchange, because part of an answer was already passed on. */
export interface Reset { readonly type: 'reset', readonly requestId: string, readonly reason: Reason }

/** Sends a heartbeat. */
export interface SendHeartbeat {
  readonly type: 'send-heartbeat'
  readonly instanceId: string
  readonly address: string
  readonly heartbeat: Heartbeat
}

/** Asks a peer for its configuration. */
export interface PullConfiguration {
  readonly type: 'pull-configuration'
  readonly instanceId: string
  readonly address: string
  readonly sinceVersion: number
}

/** Asks a peer for the instances and upstreams that it knows. */
export interface PullList {
  readonly type: 'pull-list'
  readonly instanceId: string
  readonly address: string
}

/** The planned stop is complete; ports may close. */
export interface Stopped { readonly type: 'stopped' }

export type Command =
  | Dispatch | Forward | CancelAttempt | Relay | Replay | Respond | Reset | SendHeartbeat | PullConfiguration |
  PullList | Stopped
