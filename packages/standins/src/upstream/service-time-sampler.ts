/**
 * Samples the service times of an upstream stand-in from a seeded generator: exponentially distributed with a mean per
 * length class, and longer during a cold start and during a slowdown.
 */
import type { UpstreamOptions } from './upstream-options.js'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** Service times of one upstream, in milliseconds. */
export interface ServiceTimeSampler {
  readonly sample: (bodyBytes: number) => number
  /** Multiplies the service times that are sampled within the next `durationMs`. */
  readonly slowDown: (factor: number, durationMs: number) => void
}

const MAX_RANDOM_INTEGER = 2 ** 32 - 1

/** Creates a sampler whose cold start begins now. */
export function createServiceTimeSampler (options: UpstreamOptions): ServiceTimeSampler {
  const generator = xoroshiro128plus(options.seed)
  const startedAt = performance.now()
  let slowdown = { factor: 1, endAt: 0 }

  function coldFactor (now: number): number {
    const remainingShare = 1 - (now - startedAt) / options.coldStartMs
    return options.coldStartMs === 0 || remainingShare <= 0 ? 1 : 1 + (options.coldFactor - 1) * remainingShare
  }

  return {
    sample: bodyBytes => {
      const now = performance.now()
      const mean = options.meanServiceMs[bodyBytes >= options.longBodyBytes ? 'long' : 'short']
      const uniform = (unsafeUniformIntDistribution(0, MAX_RANDOM_INTEGER, generator) + 1) / (MAX_RANDOM_INTEGER + 1)
      return -Math.log(uniform) * mean * coldFactor(now) * (now < slowdown.endAt ? slowdown.factor : 1)
    },
    slowDown: (factor, durationMs) => {
      slowdown = { factor, endAt: performance.now() + durationMs }
    }
  }
}
