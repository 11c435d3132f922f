/**
 * Vitest reporter that lets a run pass if the only failed tests are those that KNOWN-RED.txt lists, and prints these. An
 * entry names its test in a line `Test: FILE > NAME`; entries in another form are not tests of this repository.
 */
import type { Reporter, TestModule } from 'vitest/node'
import { readFileSync } from 'node:fs'
import { relative } from 'node:path'

const LIST = new URL('../KNOWN-RED.txt', import.meta.url)

/** The tests of the list, each as `FILE > NAME`. */
export function parseKnownFailures (text: string): ReadonlySet<string> {
  return new Set([...text.matchAll(/Test: (\S+\.test\.ts > .+)$/gm)].map(([, test]) => test.trim()))
}

export interface FailedTest { readonly file: string, readonly name: string }

export interface SortedFailures { readonly known: readonly string[], readonly unknown: readonly string[] }

/** Splits failed tests into those that the list names and the others. */
export function sortFailures (failed: readonly FailedTest[], known: ReadonlySet<string>): SortedFailures {
  const names = failed.map(({ file, name }) => `${file} > ${name}`)
  return { known: names.filter(name => known.has(name)), unknown: names.filter(name => !known.has(name)) }
}

/** The failed tests of a module. One that fails outside its tests counts as a failed test without a name. */
function failuresOf (module: TestModule): readonly FailedTest[] {
  const file = relative(process.cwd(), module.moduleId)
  const failed = [...module.children.allTests('failed')].map(test => ({ file, name: test.fullName }))
  const hasOtherError = module.errors().length > 0 || [...module.children.allSuites()].some(suite => suite.errors().length > 0)
  return hasOtherError ? [...failed, { file, name: '' }] : failed
}

/** The failures of a run, as names of tests. */
export function findFailures (modules: readonly TestModule[]): SortedFailures {
  return sortFailures(modules.flatMap(failuresOf), parseKnownFailures(readFileSync(LIST, 'utf8')))
}

export default class KnownFailuresReporter implements Reporter {
  onTestRunEnd (modules: readonly TestModule[], unhandledErrors: readonly unknown[], reason: string): void {
    const { known, unknown } = findFailures(modules)
    for (const name of known) console.log(`known failure (KNOWN-RED.txt): ${name}`)
    if (known.length === 0 || unknown.length > 0 || unhandledErrors.length > 0 || reason === 'interrupted') return
    // Vitest sets the exit code itself, after the reporters have run.
    process.once('exit', () => { process.exitCode = 0 })
  }
}
