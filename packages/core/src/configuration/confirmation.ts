/**
 * What an operator sends to have a plan carried out. Any instance can take it, because it names all that the plan was
 * made from.
 */
import type { Operation } from '../configuration.js'

/** The body of a confirmation on the operator port. */
export interface Confirmation {
  readonly planId: string
  readonly baseVersion: number
  readonly operations: readonly Operation[]
  /** Chosen by the operator's client; a repeated confirmation with it has the result of the first. */
  readonly changeId: string
  readonly actor: string
  readonly reason: string
}
