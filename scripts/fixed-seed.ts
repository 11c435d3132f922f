/**
 * Gives property-based tests the same seed in every run. `FC_RUNS` raises the number of runs for a longer search.
 */
import fc from 'fast-check'

const SEED = 20261204
const DEFAULT_RUNS = 100

fc.configureGlobal({ seed: SEED, numRuns: Number(process.env.FC_RUNS ?? DEFAULT_RUNS) })
