/**
 * Seeded random numbers for traces and baselines.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

export interface Random {
  /** Uniform in (0, 1]. */
  readonly uniform: () => number
  /** Exponential with the given mean. */
  readonly exponential: (mean: number) => number
  /** A uniformly chosen item. */
  readonly pick: <T>(items: readonly T[]) => T
}

const UNIFORM_STEPS = 2 ** 31

/** Creates a generator. The same seed gives the same sequence. */
export function createRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  const uniform = (): number => (unsafeUniformIntDistribution(0, UNIFORM_STEPS - 1, generator) + 1) / UNIFORM_STEPS
  return {
    uniform,
    exponential: mean => -Math.log(uniform()) * mean,
    pick: items => items[unsafeUniformIntDistribution(0, items.length - 1, generator)]!
  }
}
