/**
 * What happens to an entry instance: the inputs of the engine. Times that come from other processes are never
 * compared with this process's clock.
 */
import type { Configuration } from './configuration.js'
import type { Headroom, Heartbeat } from './heartbeat.js'
import type { Reason } from './reason.js'

/** One entry of the platform's lagging list. */
export interface ListedInstance {
  readonly id: string
  readonly role: 'entry' | 'upstream'
  /** Set for upstreams. */
  readonly service?: string
  readonly zone: string
  /** `host:port` for requests; for entry instances the caller port. */
  readonly address: string
  /** `host:port` of the peer port, for entry instances. */
  readonly peerAddress?: string
  readonly state: 'live' | 'leaving'
}

/** Time for the systems to expire, grow and send. */
export interface Tick { readonly type: 'tick' }

/** A request's headers were read. */
export interface RequestArrived {
  readonly type: 'request-arrived'
  /** Identity inside this instance, unique over its incarnation. */
  readonly requestId: string
  readonly service: string
  readonly method: string
  /** Path below the service, beginning with `/`. */
  readonly path: string
  /** Client address, when known. */
  readonly client?: string
  /** Value of `Idempotency-Key`. */
  readonly key?: string
  /** Remaining time that the client stated, in milliseconds. */
  readonly timeoutMs?: number
  /** Length of the request body in bytes, when stated. */
  readonly contentLength?: number
  /** The body is streamed to one attempt, so the request is not sent again after an attempt was written. */
  readonly singleUseBody?: boolean
  /** Set when a peer forwarded the request. */
  readonly forwarded?: {
    readonly instanceId: string
    readonly originZone: string
    readonly tenant: string
    /** The peer forwarded because this instance issued the key, so the work counts as this instance's own. */
    readonly keyHome: boolean
  }
}

/** The first byte of the attempt was handed to the socket. From now on the upstream may have run it. */
export interface AttemptWritten { readonly type: 'attempt-written', readonly attemptId: string }

/** The attempt provably did not run. */
export interface AttemptRefused {
  readonly type: 'attempt-refused'
  readonly attemptId: string
  /** Headroom of the entry instance that refused a forward, for the request's service. */
  readonly headroom?: Headroom
  /** `not-written`: the connection failed before the first write. `shed`: the receiver stated a refusal. */
  readonly proof: 'not-written' | 'shed'
  /** The receiver announced that it is leaving. */
  readonly leaving?: boolean
  /** Part of a streamed request body was read for this attempt, so the request can't be sent again. */
  readonly bodyConsumed?: boolean
  /** Reason that another entry instance stated for its refusal. */
  readonly reason?: Reason
}

/** Status and headers of the answer were read. */
export interface AttemptAnswered {
  readonly type: 'attempt-answered'
  readonly attemptId: string
  /** Headroom of the entry instance that answered a forward, for the request's service. */
  readonly headroom?: Headroom
  readonly status: number
  readonly leaving?: boolean
}

/** The answer's body was read whole. */
export interface AttemptFinished {
  readonly type: 'attempt-finished'
  readonly attemptId: string
  /** The answer, for protected requests whose body fits the record limit. */
  readonly recorded?: RecordedAnswer
}

/** The attempt ended without a whole answer after it was written; whether it ran is unknown. */
export interface AttemptFailed {
  readonly type: 'attempt-failed'
  readonly attemptId: string
  readonly truncated: boolean
  /** Reason that another entry instance stated for the unknown outcome. */
  readonly reason?: Reason
}

/** The caller closed its exchange. */
export interface RequestCancelled { readonly type: 'request-cancelled', readonly requestId: string }

/** An upstream's own load report. */
export interface UpstreamReported {
  readonly type: 'upstream-reported'
  readonly upstreamId: string
  readonly active: number
  readonly queued: number
  /** Age of the report when it was read, in milliseconds. */
  readonly ageMs: number
}

/** The platform's list was read. */
export interface ListReceived { readonly type: 'list-received', readonly entries: readonly ListedInstance[] }

/** A configuration from the platform or a peer. */
export interface ConfigurationReceived {
  readonly type: 'configuration-received'
  readonly configuration: Configuration
  readonly source: 'platform' | 'peer'
}

/** A peer's heartbeat. */
export interface HeartbeatReceived { readonly type: 'heartbeat-received', readonly heartbeat: Heartbeat }

/** A peer did not answer. */
export interface PeerUnreachable { readonly type: 'peer-unreachable', readonly instanceId: string }

/** A planned stop begins. */
export interface StopRequested { readonly type: 'stop-requested' }

/** An answer that may be replayed. Headers are pairs in the order received. */
export interface RecordedAnswer {
  readonly status: number
  readonly headers: ReadonlyArray<readonly [string, string]>
  /** Absent when the body exceeded the record limit. */
  readonly body?: Uint8Array
}

export type Event =
  | Tick | RequestArrived | AttemptWritten | AttemptRefused | AttemptAnswered | AttemptFinished | AttemptFailed
  | RequestCancelled | UpstreamReported | ListReceived | ConfigurationReceived | HeartbeatReceived | PeerUnreachable
  | StopRequested
