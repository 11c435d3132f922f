/**
 * What is wrong with a row or an operation, in words for the operator who sent it.
 */
import type { ConfigurationTable } from '../configuration.js'

export type ConfigurationProblemCode =
  | 'unknown-table' | 'unknown-row' | 'duplicate-row' | 'unknown-reference' | 'out-of-range' | 'malformed' | 'wrong-version'

/** One fault of a configuration. */
export interface ConfigurationProblem {
  readonly code: ConfigurationProblemCode
  /** Absent when the fault concerns the whole configuration. */
  readonly table?: ConfigurationTable
  readonly key: string
  /** What was found and what was expected. */
  readonly detail: string
}

/** One line for people: `services tokens: slots is 0, expected a whole number of at least 1`. */
export function problemText (problem: ConfigurationProblem): string {
  const subject = [problem.table, problem.key].filter(part => part !== undefined && part !== '').join(' ')
  return `${subject}: ${problem.detail}`
}
