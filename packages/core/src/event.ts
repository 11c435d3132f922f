/**
 * Events: the inputs of the engine of an entry instance. Times from other processes are passed as ages or durations,
 * never as points in time, because the clocks of two processes can't be compared.
 */
import type { Configuration } from './configuration.js'
import type { Headroom, Heartbeat } from './heartbeat.js'
import type { Reason } from './reason.js'

/** One entry of the platform's list of instances. The list may lag behind the actual state. */
export interface ListedInstance {
  readonly id: string
  readonly role: 'entry' | 'upstream'
  /** Set for upstreams. */
  readonly service?: string
  readonly zone: string
  /** `host:port` that accepts requests. For entry instances this is the caller port. */
  readonly address: string
  /** `host:port` of the peer port, for entry instances. */
  readonly peerAddress?: string
  readonly state: 'live' | 'leaving'
}

/** Sent periodically, for everything that depends on the passing of time: expiries, ramp-ups and heartbeats. */
export interface Tick { readonly type: 'tick' }

/** A request's headers were read. */
export interface RequestArrived {
  readonly type: 'request-arrived'
  /** Unique within this incarnation of the instance. */
  readonly requestId: string
  readonly service: string
  readonly method: string
  /** Path below the service, beginning with `/`. */
  readonly path: string
  /** Client address, when known. */
  readonly client?: string
  /** Value of the `Idempotency-Key` header. */
  readonly key?: string
  /** Time until the client's deadline, in milliseconds, if the client stated it. */
  readonly timeoutMs?: number
  /** Length of the request body in bytes, when stated. */
  readonly contentLength?: number
  /** The body is streamed and not buffered, so the request can't be sent again after an attempt was written. */
  readonly singleUseBody?: boolean
  /** Set when a peer forwarded the request. */
  readonly forwarded?: {
    readonly instanceId: string
    readonly originZone: string
    readonly tenant: string
    /** The peer forwarded because this instance issued the key, so the request counts as if it had arrived here. */
    readonly keyHome: boolean
  }
}

/** The first byte of the attempt was written to the socket. From now on the upstream may have run the request. */
export interface AttemptWritten { readonly type: 'attempt-written', readonly attemptId: string }

/** The attempt certainly did not run, so it is safe to send the request again. */
export interface AttemptRefused {
  readonly type: 'attempt-refused'
  readonly attemptId: string
  /** Headroom of the entry instance that refused a forward, for the request's service. */
  readonly headroom?: Headroom
  /** How it is known: `not-written`: the connection failed before the first write; `shed`: the receiver refused it. */
  readonly proof: 'not-written' | 'shed'
  /** The receiver announced that it is leaving, so it should get no new requests. */
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

/** The caller closed the connection or stream of its request. */
export interface RequestCancelled { readonly type: 'request-cancelled', readonly requestId: string }

/** A load report of an upstream was read. */
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

/** A configuration was received from the platform or a peer. */
export interface ConfigurationReceived {
  readonly type: 'configuration-received'
  readonly configuration: Configuration
  readonly source: 'platform' | 'peer'
}

/** A peer's heartbeat was received. */
export interface HeartbeatReceived { readonly type: 'heartbeat-received', readonly heartbeat: Heartbeat }

/** A call to a peer failed or timed out. */
export interface PeerUnreachable { readonly type: 'peer-unreachable', readonly instanceId: string }

/** A planned stop was requested. */
export interface StopRequested { readonly type: 'stop-requested' }

/** An answer that is recorded for its idempotency key and sent again to requests with the same key. */
export interface RecordedAnswer {
  readonly status: number
  /** Pairs of name and value in the order received. */
  readonly headers: ReadonlyArray<readonly [string, string]>
  /** Absent when the body exceeded the record limit. */
  readonly body?: Uint8Array
}

export type Event =
  | Tick | RequestArrived | AttemptWritten | AttemptRefused | AttemptAnswered | AttemptFinished | AttemptFailed
  | RequestCancelled | UpstreamReported | ListReceived | ConfigurationReceived | HeartbeatReceived | PeerUnreachable
  | StopRequested
