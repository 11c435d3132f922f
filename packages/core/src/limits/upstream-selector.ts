/**
 * Selects the upstream for an attempt. The first version takes the upstream with the fewest outstanding attempts.
 */
import type { LengthClass } from '../configuration.js'
import type { World } from '../tables.js'
import type { Outstanding } from './outstanding.js'
import type { SlotLimits } from './slot-limits.js'

/** How an attempt ended. `refused`: it did not run. `failed`: it may have run. */
export type AttemptEnd = 'finished' | 'refused' | 'failed' | 'cancelled'

/** Selects upstreams and learns from the attempts. Times are monotonic milliseconds. */
export interface UpstreamSelector {
  /** Upstream of the service in the zone with the least expected wait; undefined when none has a free slot. */
  readonly select: (service: string, zone: string, length: LengthClass, exclude: ReadonlySet<string>, now: number) => string | undefined
  /** An attempt was sent to the upstream. */
  readonly recordStart: (upstreamId: string, attemptId: string, now: number) => void
  /** The attempt ended. */
  readonly recordEnd: (upstreamId: string, attemptId: string, ended: AttemptEnd, now: number) => void
  /** Service time that an attempt is expected to take. */
  readonly expectedServiceMs: (service: string, length: LengthClass) => number
}

/** What the selector works on. */
export interface UpstreamSelectorOptions {
  readonly world: World
  readonly slots: SlotLimits
  readonly outstanding: Outstanding
  /** Seed of the generator that breaks ties. */
  readonly seed: number
}

/** Service times that are assumed before any was observed, in milliseconds. */
const INITIAL_SERVICE_MS: { readonly [L in LengthClass]: number } = { short: 20, long: 1_000 }

/** Creates the selector of one instance. */
export function createUpstreamSelector (options: UpstreamSelectorOptions): UpstreamSelector {
  const { world, slots, outstanding } = options
  return {
    select: (service, zone, _length, exclude, now) => {
      let best: string | undefined
      let least = Infinity
      for (const row of world.upstreams.values()) {
        if (row.service !== service || row.zone !== zone || exclude.has(row.id)) continue
        const count = outstanding.count(row.id)
        if (count >= slots.limit(row.id, now) || count >= least) continue
        best = row.id
        least = count
      }
      return best
    },
    recordStart: () => {},
    recordEnd: () => {},
    expectedServiceMs: (_service, length) => INITIAL_SERVICE_MS[length]
  }
}
