/**
 * Selects the upstream with the least expected wait.
 */
import type { LengthClass } from '../configuration.js'

/** Selects among the upstreams of a service in a zone that have a free slot. */
export interface UpstreamSelector {
  /** Id of the selected upstream; `undefined` when none has a free slot for this length class. */
  select (service: string, zone: string, length: LengthClass, exclude: ReadonlySet<string>, now: number): string | undefined
  recordStart (upstreamId: string, attemptId: string, now: number): void
  recordEnd (upstreamId: string, attemptId: string, ended: 'finished' | 'refused' | 'failed' | 'cancelled', now: number): void
  /** Expected service time in milliseconds. */
  expectedServiceMs (service: string, length: LengthClass): number
}
