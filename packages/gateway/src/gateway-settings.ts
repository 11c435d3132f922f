/**
 * Settings that a gateway is started with.
 */
import type { QuotaLimits } from '@arbutustray/steering'
import type { Dialect } from './dialect.js'

export interface GatewaySettings {
  readonly instanceId: string
  readonly zone: string
  readonly region: string
  /** Region of each zone. */
  readonly regions: Readonly<Record<string, string>>
  /** Listen addresses (`host:port`). */
  readonly addresses: {
    readonly caller: string
    readonly ready: string
    readonly directory: string
    readonly peer: string
    readonly metrics: string
  }
  /** Bandwidth of this instance's network link. */
  readonly linkMbps: number
  /** Processor cores that the process may use, or a part of one. */
  readonly cores: number
  /** Memory that the process may use, in MiB; `undefined` if it is not stated. */
  readonly memoryMb?: number | undefined
  /** Files and sockets that the process may have open. */
  readonly descriptorLimit: number
  /** Peer addresses that are polled while no other instance is known. */
  readonly seeds: readonly string[]
  /** Time between the stop request and the forced end of the process, in milliseconds. */
  readonly graceMs: number
  /** Maximum time that clients may cache a directory answer, in milliseconds. */
  readonly maxTtlMs: number
  /**
   * Retry budget of a service: in each window of `windowMs` milliseconds `ratio` retries per request and `extra` more,
   * for all instances together.
   */
  readonly retries: { readonly ratio: number, readonly extra: number, readonly windowMs: number }
  /** A cold upstream gets at most `coldRate * factor + extra` requests per second, with its service's `coldRate`. */
  readonly cold: { readonly factor: number, readonly extra: number }
  /** How the limits on teams' requests are checked over all instances; `undefined` in a deployment without teams. */
  readonly quota?: QuotaLimits
  readonly dialect: Dialect
}
