/**
 * Reasons for which the system itself answers a request, and their HTTP statuses. They include failures after an attempt
 * may have run, such as `timeout` and `outcome-unknown`. 503 and 404 mean that the request has not run and never will;
 * after 502 and 504 it may have run. `intake-timeout`: the instance was too busy to handle the request. `stopping`: the
 * instance may end before the answer. Nothing currently produces `retry-budget`.
 */

export type Refusal =
  | 'intake-timeout' | 'no-deployment' | 'no-route' | 'no-upstream' | 'overload' | 'shed' | 'retry-budget' | 'timeout-before-run'
  | 'stopping' | 'outcome-unknown' | 'timeout' | 'upstream-garbled' | 'unsendable'

/** Reasons after which the request may have run. After all others it has not run and never will. */
export const POSSIBLY_RUN: ReadonlySet<Refusal> = new Set<Refusal>(['outcome-unknown', 'timeout', 'upstream-garbled'])

export const REFUSAL_STATUS: { readonly [R in Refusal]: number } = {
  'intake-timeout': 503,
  'no-deployment': 503,
  'no-route': 404,
  'no-upstream': 503,
  overload: 503,
  shed: 503,
  'retry-budget': 503,
  'timeout-before-run': 503,
  stopping: 503,
  'outcome-unknown': 502,
  timeout: 504,
  'upstream-garbled': 502,
  unsendable: 400
}
