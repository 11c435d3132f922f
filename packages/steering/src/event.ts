/**
 * Events that the program around the steering engine passes to it.
 */
import type { Deployment } from './deployment.js'
import type { ClockReading } from './quota-share.js'
import type { StopLimits } from './stop-schedule.js'
import type { QuotaGrant } from './team-quota.js'
import type { UpstreamDemand, UpstreamEntry } from './upstream.js'
import type { UpstreamStatements } from './upstream-statements.js'

/** Triggers the periodic work: timeouts, health probes and hedging. */
export interface Tick { readonly type: 'tick' }

/** A request was received completely. */
export interface RequestArrived {
  readonly type: 'request-arrived'
  /** Unique within this instance. */
  readonly requestId: string
  /** Lower case, without port. */
  readonly host: string
  /** Path without the query. */
  readonly path: string
  /** Key of the object that the request names, if any. */
  readonly objectKey: string | undefined
  /** API key that the request carries; empty if its credentials are malformed, and `undefined` without any. */
  readonly apiKey?: string | undefined
  /** Size of the body, in bytes. */
  readonly bodyBytes?: number
  /** Remaining time that the caller stated, in milliseconds, counted from `receivedAt`. */
  readonly deadlineMs: number | undefined
  /** Time at which the header was read, on the monotonic clock. */
  readonly receivedAt: number
}

/** The attempt provably did not run. */
export interface AttemptRefused extends UpstreamStatements {
  readonly type: 'attempt-refused'
  readonly attemptId: string
  /**
   * `shed`: the upstream states that it did not run the request. `misdirected`: another upstream has the address.
   * `unreachable`: the connection failed before the first byte was written. `unsent`: the request's time was up, or its
   * caller had left, before the first byte was written; the upstream has no part in it. `unsendable`: the request can't be
   * written to any upstream, for example because of a duplicate header.
   */
  readonly cause: 'shed' | 'misdirected' | 'unreachable' | 'unsent' | 'unsendable'
}

/** The answer was read, completely or up to the buffer limit. */
export interface AttemptAnswered extends UpstreamStatements {
  readonly type: 'attempt-answered'
  readonly attemptId: string
  readonly status: number
  /** The answer exceeds the buffer limit and is still being read, so it must be relayed at once or cancelled. */
  readonly isPartial?: boolean
  /**
   * The answer can be relayed only by closing the caller's connection, on which requests behind this one were forwarded. They
   * would get no answer, so it is used only if the request can't be sent again.
   */
  readonly cutsOffOthers?: boolean
}

/** The request was sent but no complete answer came back; whether it ran is unknown. */
export interface AttemptBroken {
  readonly type: 'attempt-broken'
  readonly attemptId: string
  /** `crossed`: the answer belongs to another request. `reset`: the connection ended. `garbled`: no valid answer. */
  readonly cause: 'crossed' | 'reset' | 'garbled'
  /** An answer to another request, or an invalid one, stated that the upstream is leaving. */
  readonly isLeaving?: boolean
}

/** The caller closed its connection. */
export interface RequestCancelled { readonly type: 'request-cancelled', readonly requestId: string }

/** A health probe ended. */
export interface UpstreamProbed extends UpstreamStatements {
  readonly type: 'upstream-probed'
  readonly upstreamId: string
  readonly healthy: boolean
  /** Identity in the answer; `undefined` when there was no answer. */
  readonly answeredBy: string | undefined
  /** Remaining cold time that the upstream stated, in milliseconds. */
  readonly coldMs: number
}

/** A connection to the upstream's zone was made. */
export interface ZoneReached {
  readonly type: 'zone-reached'
  readonly zone: string
  /** Duration of the handshake in milliseconds. */
  readonly roundTripMs: number
}

/** A deployment was read from the store or from a peer. */
export interface DeploymentReceived {
  readonly type: 'deployment-received'
  readonly deployment: Deployment
}

/** The whole service registry was read. */
export interface UpstreamsListed {
  readonly type: 'upstreams-listed'
  readonly entries: readonly UpstreamEntry[]
  /** Time for which an entry that is missing may only have expired in an outage of the store, in milliseconds; else 0. */
  readonly graceMs: number
}

/** One entry of the registry changed or, when `entry` is absent, was removed. */
export interface UpstreamChanged {
  readonly type: 'upstream-changed'
  readonly id: string
  readonly entry?: UpstreamEntry
  /** Time for which a removed entry may only have expired in an outage of the store, in milliseconds; else 0. */
  readonly graceMs: number
}

/** Zones whose upstreams take no traffic. */
export interface EvacuationsReceived {
  readonly type: 'evacuations-received'
  readonly zones: readonly string[]
}

/** The entry instances that share the limits, after a change. */
export interface InstancesCounted {
  readonly type: 'instances-counted'
  /** Ids, the own one included. */
  readonly ids: readonly string[]
  /** Callers that each instance can expect, relative to the others, in the order of `ids`; equal for all if absent. */
  readonly weights?: readonly number[]
}

/** A registered instance and the callers that it can expect, relative to the others. */
export interface InstanceWeight {
  readonly id: string
  readonly weight: number
}

/** Another instance lent parts of its share of teams' quotas, or handed over tokens. */
export interface QuotaGranted {
  readonly type: 'quota-granted'
  readonly peerId: string
  readonly grants: readonly QuotaGrant[]
  /** Time at which the grants were asked for, on both clocks. */
  readonly askedAt: ClockReading
}

/** Another instance reported its demand for upstreams that state a limit. */
export interface PeerDemandsReported {
  readonly type: 'peer-demands-reported'
  readonly peerId: string
  readonly demands: readonly UpstreamDemand[]
}

/** The instance begins a planned stop. */
export interface StopBegun extends StopLimits { readonly type: 'stop-begun' }

export type SteeringEvent =
  | Tick | StopBegun | RequestArrived | AttemptRefused | AttemptAnswered | AttemptBroken | RequestCancelled | UpstreamProbed
  | ZoneReached | DeploymentReceived | UpstreamsListed | UpstreamChanged | EvacuationsReceived | InstancesCounted | PeerDemandsReported
  | QuotaGranted
