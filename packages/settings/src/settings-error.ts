/**
 * What is wrong with a settings file, in terms that lead the reader to the place in the file.
 */

/** One fault of a file. */
export interface SettingsProblem {
  /** Line in the file, counted from 1. For a missing key, the line of the object that lacks it. */
  readonly line: number
  /** Path of the key, such as `limits.maxBodyBytes` or `services[0].slots`; `(file)` for the whole file. */
  readonly key: string
  readonly expected: string
}

/** The file can't be used. `problems` has at least one entry, in the order of the lines. */
export interface SettingsError {
  readonly fileName: string
  readonly problems: readonly SettingsProblem[]
}

/** One line per problem: `file:line: key: expected`. */
export function formatSettingsError (error: SettingsError): string {
  return error.problems
    .map(problem => `${error.fileName}:${problem.line}: ${problem.key}: ${problem.expected}`)
    .join('\n')
}
