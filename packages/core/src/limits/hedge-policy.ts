/**
 * Decides when a repeatable request may be sent to a second upstream.
 */

/** Hedge delay and budget by service. */
export interface HedgePolicy {
  recordLatency (service: string, ms: number, now: number): void
  /** Time after the first dispatch at which a hedge may start, in milliseconds; `undefined` when unknown. */
  delayMs (service: string, now: number): number | undefined
  /** Takes one hedge; `headroomShare` is the share of free slots, 0 to 1. */
  take (service: string, headroomShare: number, now: number): boolean
}
