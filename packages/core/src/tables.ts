/**
 * The rows that the systems run over. Rows are read-only; a system that changes one replaces it.
 */
import type { Configuration, LengthClass, RequestKind } from './configuration.js'
import type { Headroom } from './heartbeat.js'
import type { InstanceMap } from './instance-map.js'
import type { BlockTable } from './lookup/block-table.js'

/** Another entry instance. */
export interface Instance {
  readonly id: string
  readonly incarnation: string
  readonly zone: string
  readonly address: string
  readonly peerAddress: string
  readonly state: 'live' | 'leaving' | 'silent'
  /** Monotonic time of the last sign of life, direct or through a digest; `-Infinity` if never. */
  readonly heardAt: number
  readonly configurationVersion: number
  readonly headroom: ReadonlyMap<string, Headroom>
  /** Monotonic time at which `headroom` was received. */
  readonly headroomAt: number
}

/** An upstream of any zone. */
export interface Upstream {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly address: string
  readonly state: 'live' | 'leaving'
  /** Monotonic time at which the upstream was first listed; `-Infinity` if it was in the first list. */
  readonly listedAt: number
  /** Monotonic time at which the leaving mark was first seen. */
  readonly leavingAt?: number
}

/** One try of a request at an upstream or a peer. */
export interface Attempt {
  readonly id: string
  readonly requestId: string
  readonly target: { readonly type: 'upstream' | 'instance', readonly id: string }
  /** Zone that runs the attempt. */
  readonly zone: string
  readonly startedAt: number
  readonly state: 'created' | 'written' | 'answered'
  readonly hedge: boolean
}

/** A request between its arrival and its answer. */
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
  /** Present when a peer forwarded it; such a request is not forwarded again. */
  readonly forwardedBy?: string
  readonly contentLength: number
  /** Attempts that were provably not run. */
  readonly refusals: number
}

/** All state of one engine. Each table has one owner system that writes it. */
export interface World {
  readonly self: LocalInstance
  /** Present once a configuration was received. */
  configuration: Configuration | undefined
  readonly instances: InstanceMap
  readonly upstreams: Map<string, Upstream>
  readonly requests: Map<string, Request>
  readonly attempts: Map<string, Attempt>
  /** Client blocks. Absent until they were read. */
  clientBlocks: BlockTable | undefined
  /** Set by a planned stop. */
  stoppingSince: number | undefined
}

/** This entry instance. */
export interface LocalInstance {
  readonly id: string
  readonly zone: string
  readonly address: string
  readonly peerAddress: string
  /** Random id of this run of the process. */
  readonly incarnation: string
}
