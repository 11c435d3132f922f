/**
 * How an upstream stand-in behaves. Times in milliseconds.
 */
export interface UpstreamOptions {
  readonly id: string
  readonly service: string
  readonly zone: string
  /** 0 lets the system choose. */
  readonly port: number
  /** Requests that run at a time; more are refused before they run. */
  readonly slots: number
  /** Connections that are accepted; more are closed at once. */
  readonly connections: number
  /** Mean service time by length class. */
  readonly meanServiceMs: { readonly short: number, readonly long: number }
  /** Requests with a body of at least this size are long. */
  readonly longBodyBytes: number
  /** Time in which a new upstream's service time falls from `coldFactor` times the mean to the mean. */
  readonly coldStartMs: number
  readonly coldFactor: number
  /** Age that a load report can reach. */
  readonly loadLagMs: number
  readonly seed: number
}

/** Options that are seldom set. */
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

/** What a caller of the stand-in must state; the rest has defaults. */
export type UpstreamSpec = Pick<UpstreamOptions, 'id' | 'service' | 'zone'> & Partial<UpstreamOptions>
