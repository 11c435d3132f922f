/**
 * The state of an engine, as tables of rows by id. Rows are read-only: to change one, the system that owns the table
 * replaces it.
 */
import type { Configuration, LengthClass, RequestKind } from './configuration.js'
import type { Headroom } from './heartbeat.js'
import type { InstanceMap } from './instance-map.js'
import type { BlockTable } from './lookup/block-table.js'

/** Another entry instance, as this one knows it. */
export interface Instance {
  readonly id: string
  readonly incarnation: string
  readonly zone: string
  readonly address: string
  readonly peerAddress: string
  readonly state: 'live' | 'leaving' | 'silent'
  /** Monotonic time of the last heartbeat, or of the last sighting by a peer if that is later; `-Infinity` if none. */
  readonly heardAt: number
  readonly configurationVersion: number
  readonly headroom: ReadonlyMap<string, Headroom>
  /** Monotonic time at which `headroom` was received. */
  readonly headroomAt: number
}

/** An upstream in any zone. */
export interface Upstream {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly address: string
  readonly state: 'live' | 'leaving'
  /** Monotonic time at which the upstream was first listed; `-Infinity` if it was in the first list. */
  readonly listedAt: number
  /** Monotonic time at which the upstream was first reported as leaving. */
  readonly leavingAt?: number
}

/** One attempt to run a request on an upstream, or on another entry instance by forwarding it. */
export interface Attempt {
  readonly id: string
  readonly requestId: string
  readonly target: { readonly type: 'upstream' | 'instance', readonly id: string }
  /** Zone that the attempt was sent to. */
  readonly zone: string
  readonly startedAt: number
  readonly state: 'created' | 'written' | 'answered'
  readonly hedge: boolean
}

/** A request from its arrival to the end of its answer. */
export interface Request {
  readonly id: string
  readonly service: string
  readonly kind: RequestKind
  readonly length: LengthClass
  readonly tenant: string
  readonly originZone: string
  readonly arrivedAt: number
  /** Monotonic time at which the deadline passes. */
  readonly deadlineAt: number
  readonly state: 'queued' | 'running' | 'answering' | 'waiting-for-key'
  readonly key?: string
  /** Id of the peer that forwarded the request. Such a request is not forwarded again. */
  readonly forwardedBy?: string
  /** Length of the request body in bytes. */
  readonly contentLength: number
  /** Number of attempts that were refused before they ran. */
  readonly refusals: number
}

/** All state of one engine. Each table is written by only one system. */
export interface World {
  readonly self: LocalInstance
  /** Undefined until the first configuration was received. */
  configuration: Configuration | undefined
  readonly instances: InstanceMap
  readonly upstreams: Map<string, Upstream>
  readonly requests: Map<string, Request>
  readonly attempts: Map<string, Attempt>
  /** Zone and tenant of clients by address. Undefined until the client blocks were read. */
  clientBlocks: BlockTable | undefined
  /** Monotonic time at which a planned stop was requested; undefined before. */
  stoppingSince: number | undefined
}

/** The entry instance that this process runs. */
export interface LocalInstance {
  readonly id: string
  readonly zone: string
  readonly address: string
  readonly peerAddress: string
  /** Random id of this run of the process; a restarted instance has another. */
  readonly incarnation: string
}
