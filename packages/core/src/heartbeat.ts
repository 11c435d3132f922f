/**
 * The heartbeat message, by which entry instances exchange their state and what they know of others.
 */

/** Spare capacity of a service in the sender's zone, by the sender's own slot limits. */
export interface Headroom {
  readonly service: string
  readonly free: number
  readonly slots: number
  readonly queued: number
}

/** The state of another entry instance as the sender knows it. */
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

/** Sent to a bounded number of peers each second, and as the reply to a peer's heartbeat. */
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
  /** Ids of upstreams in the sender's zone that are leaving. */
  readonly leavingUpstreams: readonly string[]
}
