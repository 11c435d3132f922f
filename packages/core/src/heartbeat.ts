/**
 * The state that entry instances exchange.
 */

/** Free and total slots of a service in the sender's zone, as the sender's own limits give them. */
export interface Headroom {
  readonly service: string
  readonly free: number
  readonly slots: number
  readonly queued: number
}

/** What the sender knows of another entry instance. */
export interface Sighting {
  readonly instanceId: string
  readonly incarnation: string
  readonly zone: string
  readonly address: string
  readonly peerAddress: string
  readonly state: 'live' | 'leaving'
  /** Time since the instance was last heard, in milliseconds, on the sender's clock. */
  readonly ageMs: number
}

/** Sent to a bounded set of peers each second. */
export interface Heartbeat {
  readonly instanceId: string
  readonly incarnation: string
  readonly zone: string
  readonly address: string
  readonly peerAddress: string
  readonly state: 'live' | 'leaving'
  readonly configurationVersion: number
  readonly headroom: readonly Headroom[]
  readonly sightings: readonly Sighting[]
  /** Upstream ids of the sender's zone that are leaving. */
  readonly leavingUpstreams: readonly string[]
}
