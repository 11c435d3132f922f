/**
 * Bounds retries to a share of the requests.
 */

/** Retry budget by service. */
export interface RetryBudget {
  recordRequest (service: string, now: number): void
  /** Takes one retry; `false` when the budget is used up. */
  take (service: string, now: number): boolean
}
