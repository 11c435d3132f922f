/**
 * Validation errors of rows and operations, with a message for the operator who sent them.
 */
import type { ConfigurationTable } from '../configuration.js'

export type ConfigurationProblemCode =
  | 'unknown-table' | 'unknown-row' | 'duplicate-row' | 'unknown-reference' | 'out-of-range' | 'malformed' | 'wrong-version'

/** One validation error of a configuration or a change. */
export interface ConfigurationProblem {
  readonly code: ConfigurationProblemCode
  /** Absent for problems that are not in a row of a known table. */
  readonly table?: ConfigurationTable
  /** Key of the row, name of the unknown table, or id of the change. */
  readonly key: string
  /** States the value found and the expected one. */
  readonly detail: string
}

/** Formats a problem as one line, such as `services tokens: slots is 0, expected a whole number from 1 to 100000`. */
export function formatProblem (problem: ConfigurationProblem): string {
  const subject = [problem.table, problem.key].filter(part => part !== undefined && part !== '').join(' ')
  return `${subject}: ${problem.detail}`
}
