/**
 * Draws service times: exponential by length class from a seeded generator, longer while the upstream is cold and
 * during an episode of slowness.
 */
import type { UpstreamOptions } from './upstream-options.js'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** Service times of one upstream. */
export interface ServiceTime {
  readonly draw: (bodyBytes: number) => number
  /** Multiplies service times drawn during the episode. */
  readonly slowDown: (factor: number, durationMs: number) => void
}

const RANDOM_RANGE = 2 ** 32 - 1

/** The upstream counts as started now. */
export function createServiceTime (options: UpstreamOptions): ServiceTime {
  const generator = xoroshiro128plus(options.seed)
  const startedAt = performance.now()
  let slow = { factor: 1, endAt: 0 }

  function coldFactor (now: number): number {
    const left = 1 - (now - startedAt) / options.coldStartMs
    return options.coldStartMs === 0 || left <= 0 ? 1 : 1 + (options.coldFactor - 1) * left
  }

  return {
    draw: bodyBytes => {
      const now = performance.now()
      const mean = options.meanServiceMs[bodyBytes >= options.longBodyBytes ? 'long' : 'short']
      const uniform = (unsafeUniformIntDistribution(0, RANDOM_RANGE, generator) + 1) / (RANDOM_RANGE + 1)
      return -Math.log(uniform) * mean * coldFactor(now) * (now < slow.endAt ? slow.factor : 1)
    },
    slowDown: (factor, durationMs) => {
      slow = { factor, endAt: performance.now() + durationMs }
    }
  }
}
