/**
 * Options of an upstream stand-in. Times in milliseconds.
 */
export interface UpstreamOptions {
  readonly id: string
  readonly service: string
  readonly zone: string
  /** Port to listen on; 0 picks a free one. */
  readonly port: number
  /** Number of requests that can run at a time; further ones are refused before they run. */
  readonly slots: number
  /** Number of connections that can be open; further ones are closed at once. */
  readonly connections: number
  /** Mean service time by length class. */
  readonly meanServiceMs: { readonly short: number, readonly long: number }
  /** Body size from which a request counts as long. */
  readonly longBodyBytes: number
  /** Duration of the cold start, in which service times fall linearly from `coldFactor` times the mean to the mean. */
  readonly coldStartMs: number
  readonly coldFactor: number
  /** Period at which the load report is refreshed, and so the greatest age of a report. */
  readonly loadLagMs: number
  readonly seed: number
}

/** Defaults of all options that a specification may omit. */
export const UPSTREAM_DEFAULTS = {
  port: 0,
  slots: 9,
  connections: 400,
  meanServiceMs: { short: 5, long: 200 },
  longBodyBytes: 65_536,
  coldStartMs: 0,
  coldFactor: 3,
  loadLagMs: 500,
  seed: 1
} as const

/** Options of one upstream stand-in; those without a default are required. */
export type UpstreamSpec = Pick<UpstreamOptions, 'id' | 'service' | 'zone'> & Partial<UpstreamOptions>
