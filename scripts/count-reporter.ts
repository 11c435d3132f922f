/**
 * Vitest reporter that prints the test counts on one line at the end of a run: `N passed, N failed, N skipped`. A file
 * that fails to load counts as one failed test.
 */
import type { Reporter, TestModule } from 'vitest/node'

export default class CountReporter implements Reporter {
  onTestRunEnd (modules: readonly TestModule[]): void {
    const counts = { passed: 0, failed: 0, skipped: 0, pending: 0 }
    for (const module of modules) {
      if (module.children.size === 0 && module.errors().length > 0) counts.failed += 1
      for (const test of module.children.allTests()) counts[test.result().state] += 1
    }
    console.log(`\n${counts.passed} passed, ${counts.failed} failed, ${counts.skipped + counts.pending} skipped`)
  }
}
