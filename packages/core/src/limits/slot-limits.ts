/**
 * How many slots of each upstream this instance may use.
 */

/** Slot limits of the upstreams that this instance dispatches to. */
export interface SlotLimits {
  /** Slots of the upstream that this instance may use at `now`. */
  limit (upstreamId: string, now: number): number
  recordRefusal (upstreamId: string, now: number): void
  recordCompletion (upstreamId: string, now: number): void
  /** Slots without an outstanding attempt, over the upstreams of a service in a zone. */
  free (service: string, zone: string, now: number): number
  /** All slots, over the upstreams of a service in a zone. */
  total (service: string, zone: string, now: number): number
}
