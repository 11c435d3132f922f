/**
 * Reasons for which the system itself answers a request, and their HTTP statuses. They include failures after an attempt
 * may have run, such as `timeout` and `outcome-unknown`. 401, 404, 429 and 503 mean that the request has not run and never
 * will; after 502 and 504 it may have run. `no-key`: the route requires an API key. `unknown-key`: the key belongs to no
 * team, or the credentials are malformed. `over-quota`: the team's quota is used up. `intake-timeout`: the instance was too busy to handle the request. `stopping`: the
 * instance may end before the answer. Nothing currently produces `retry-budget`.
 */

export type Refusal =
  | 'intake-timeout' | 'no-deployment' | 'no-route' | 'no-key' | 'unknown-key' | 'over-quota' | 'no-upstream' | 'overload' | 'shed' | 'retry-budget' | 'timeout-before-run'
  | 'stopping' | 'outcome-unknown' | 'timeout' | 'upstream-garbled' | 'unsendable'

/** Reasons after which the request may have run. After all others it has not run and never will. */
export const POSSIBLY_RUN: ReadonlySet<Refusal> = new Set<Refusal>(['outcome-unknown', 'timeout', 'upstream-garbled'])

export const REFUSAL_STATUS: { readonly [R in Refusal]: number } = {
  'intake-timeout': 503,
  'no-deployment': 503,
  'no-route': 404,
  'no-key': 401,
  'unknown-key': 401,
  'over-quota': 429,
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
