/**
 * Checks the gateway's guarantees after the demo or a failure test, by comparing the responses that callers got with
 * the run logs of the upstreams.
 */
import type { Run } from '../upstream/run-log.js'
import type { Sample } from './caller.js'

/** A confirmed drain of an upstream. */
export interface ConfirmedDrain {
  readonly upstream: string
  /** Milliseconds since the Unix epoch. */
  readonly confirmedAt: number
  /** Time after the confirmation from which the upstream must receive no new requests. */
  readonly boundMs: number
}

function countBy<T> (rows: readonly T[], key: (row: T) => string | undefined): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const row of rows) {
    const name = key(row)
    if (name !== undefined) counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return counts
}

/** Returns a description of each broken guarantee. */
export function findBreaches (samples: readonly Sample[], runs: readonly Run[], drain?: ConfirmedDrain): readonly string[] {
  const runsByPath = countBy(runs, run => run.path)
  const repeatedKeys = [...countBy(runs, run => run.key)].filter(([, count]) => count > 1)
  const runsWithoutKey = runs.filter(run => run.path.startsWith('/purchases') && run.key === undefined)
  // Also counts if another request with the same key ran, because a caller that is told `not-run` buys again with a new key.
  const ranAfterRefusal = samples.filter(({ end, spec }) => end === 'refused' && runsByPath.has(spec.path))
  const answeredWithoutRun = samples.filter(({ end, spec }) => end === 'whole' && !runsByPath.has(spec.path))
  const startedAfterDrain = drain === undefined ? [] : runs.filter(run => run.upstream === drain.upstream && run.started > drain.confirmedAt + drain.boundMs)
  const interruptedByDrain = drain === undefined ? [] : runs.filter(run => run.upstream === drain.upstream && run.end !== 'served')
  return [
    ...repeatedKeys.map(([key, count]) => `key ${key} ran ${count} times`),
    ...runsWithoutKey.map(run => `${run.path} ran without its key`),
    ...ranAfterRefusal.map(({ spec, detail }) => `${spec.path} ran although the caller was told ${detail}`),
    ...answeredWithoutRun.map(({ spec }) => `${spec.path} was answered without a run`),
    ...startedAfterDrain.map(run => `${run.path} started at the drained ${run.upstream} ${run.started - (drain?.confirmedAt ?? 0)} ms after the confirmation`),
    ...interruptedByDrain.map(run => `${run.path} at the drained ${run.upstream} ended as ${run.end ?? 'running'}`)
  ]
}
