/**
 * Errors in a settings or configuration file, each with its line and key.
 */

/** One error in a file. */
export interface SettingsProblem {
  /** Line in the file, counted from 1. For a missing key, the line of the object that lacks it. */
  readonly line: number
  /** Path of the key, such as `limits.maxBodyBytes` or `services[0].slots`; `(file)` for the whole file. */
  readonly key: string
  /** What the schema expects there. */
  readonly expected: string
}

/** Why a file can't be used. `problems` has at least one entry, ordered by line. */
export interface SettingsError {
  readonly fileName: string
  readonly problems: readonly SettingsProblem[]
}

/** Formats one line per problem: `file:line: key: expected`. */
export function formatSettingsError (error: SettingsError): string {
  return error.problems
    .map(problem => `${error.fileName}:${problem.line}: ${problem.key}: ${problem.expected}`)
    .join('\n')
}
