/**
 * Vitest reporter that prints the test counts on one line at the end of a run: `N passed, N failed, N skipped, N known
 * failures`. A file that fails to load counts as one failed test. A failed test that KNOWN-RED.txt lists counts as a known
 * failure only.
 */
import type { Reporter, TestModule } from 'vitest/node'
import { findFailures } from './known-failures.js'

export default class CountReporter implements Reporter {
  onTestRunEnd (modules: readonly TestModule[]): void {
    const counts = { passed: 0, failed: 0, skipped: 0, pending: 0 }
    for (const module of modules) {
      for (const test of module.children.allTests()) counts[test.result().state] += 1
    }
    const { known, unknown } = findFailures(modules)
    console.log(`\n${counts.passed} passed, ${unknown.length} failed, ${counts.skipped + counts.pending} skipped, ${known.length} known failures`)
  }
}
