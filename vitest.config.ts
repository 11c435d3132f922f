import { createRequire } from 'node:module'
import { defineConfig } from 'vitest/config'

const resolve = {
  conditions: ['source', 'node', 'import', 'default'],
  // Resolves to the file that Node loads. Vite would prefer an .mjs file, whose directory imports Node can't resolve.
  alias: { clipanion: createRequire(import.meta.url).resolve('clipanion') }
}
const ssr = { resolve }

/** Unit tests run on fake timers. `real` and `processes` tests use the real clock; `processes` tests start processes. */
export default defineConfig({
  test: {
    reporters: ['default', './scripts/known-failures.ts', './scripts/count-reporter.ts'],
    projects: [
      {
        resolve,
        ssr,
        test: {
          name: 'unit',
          include: ['{packages/*,platform,platform/soak}/tests/**/*.test.ts'],
          exclude: ['**/tests/real/**', '**/tests/processes/**', '**/node_modules/**'],
          setupFiles: ['./scripts/paused-clock.ts', './scripts/fixed-seed.ts'],
          // The clock is paused, so the runner's limit only ends tests that hang; a property of 100 runs takes seconds.
          testTimeout: 20_000
        }
      },
      {
        resolve,
        ssr,
        test: {
          name: 'real',
          include: ['{packages/*,platform,platform/soak}/tests/real/**/*.test.ts'],
          setupFiles: ['./scripts/fixed-seed.ts'],
          testTimeout: 20_000
        }
      },
      {
        resolve,
        ssr,
        test: {
          name: 'processes',
          include: ['{packages/*,platform,platform/soak}/tests/processes/**/*.test.ts'],
          setupFiles: ['./scripts/fixed-seed.ts'],
          fileParallelism: false,
          testTimeout: 60_000,
          hookTimeout: 60_000
        }
      }
    ]
  }
})
