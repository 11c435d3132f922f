/**
 * Request of an operator to apply a plan. It contains everything that the plan was computed from, so any instance can
 * process it.
 */
import type { Operation } from '../configuration.js'

/** The body of a confirmation on the operator port. */
export interface Confirmation {
  readonly planId: string
  readonly baseVersion: number
  readonly operations: readonly Operation[]
  /** Chosen by the operator's client. A repeated confirmation with the same id has the result of the first. */
  readonly changeId: string
  readonly actor: string
  readonly reason: string
}
