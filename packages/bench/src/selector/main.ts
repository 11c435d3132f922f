/**
 * Compares upstream selectors in a simulation in which upstreams have slow periods. Uses virtual time and fixed seeds.
 * Prints one line per selector and load: latencies with and without stragglers, and the ratio of the two p99 values.
 * Run it with `npm run build && node packages/bench/dist/selector/main.js`.
 */
import type { RunResult } from './simulation.js'
import { simulate } from './simulation.js'
import { VARIANTS } from './variants.js'

const SLOW_PERIODS = { share: 0.05, meanMs: 300, slowdown: 8 }
const NO_SLOW_PERIODS = { ...SLOW_PERIODS, share: 0 }
const LOADS = [0.6, 0.8]
const REQUESTS_PER_RUN = 300_000
const SEEDS = [11, 12, 13, 14]

const mean = (rows: readonly RunResult[], value: (row: RunResult) => number): number =>
  rows.reduce((sum, row) => sum + value(row), 0) / rows.length
const ms = (rows: readonly RunResult[], value: (row: RunResult) => number): string => mean(rows, value).toFixed(1)
const percent = (rows: readonly RunResult[], value: (row: RunResult) => number): string =>
  (100 * mean(rows, value)).toFixed(2)

for (const load of LOADS) {
  for (const [name, variant] of Object.entries(VARIANTS)) {
    const withoutStragglers = SEEDS.map(seed => simulate({ variant, load, slowPeriods: NO_SLOW_PERIODS, requests: REQUESTS_PER_RUN, seed }))
    const withStragglers = SEEDS.map(seed => simulate({ variant, load, slowPeriods: SLOW_PERIODS, requests: REQUESTS_PER_RUN, seed }))
    const ratio = mean(withStragglers, row => row.p99) / mean(withoutStragglers, row => row.p99)
    console.log(`load ${load}  ${name.padEnd(18)}  p50 ${ms(withStragglers, row => row.p50)} ms  p99 ${ms(withStragglers, row => row.p99)} ms  ` +
      `p99.9 ${ms(withStragglers, row => row.p999)} ms  without stragglers p99 ${ms(withoutStragglers, row => row.p99)} ms  ` +
      `ratio ${ratio.toFixed(3)}  starts on stragglers ${percent(withStragglers, row => row.slowStartShare)}%  moved ${percent(withStragglers, row => row.forwardedShare)}%`)
  }
}
