/**
 * Vitest setup file that gives property-based tests a fixed seed. The environment variable `FC_RUNS` sets the number
 * of runs per property, for a longer search.
 */
import fc from 'fast-check'

const SEED = 20261204
const DEFAULT_RUNS = 100

fc.configureGlobal({ seed: SEED, numRuns: Number(process.env.FC_RUNS ?? DEFAULT_RUNS) })
