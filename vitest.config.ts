import { createRequire } from 'node:module'
import { defineConfig } from 'vitest/config'

const resolve = {
  conditions: ['source', 'node', 'import', 'default'],
  // The entry that Node loads. Vite prefers an .mjs file next to it, whose directory imports Node does not resolve.
  alias: { clipanion: createRequire(import.meta.url).resolve('clipanion') }
}
const ssr = { resolve }

/** Unit tests run on a paused clock; `real` and `processes` tests use the runtime's clock. */
export default defineConfig({
  test: {
    reporters: ['default', './scripts/count-reporter.ts'],
    projects: [
      {
        resolve,
        ssr,
        test: {
          name: 'unit',
          include: ['{packages/*,platform,platform/soak}/tests/**/*.test.ts'],
          exclude: ['**/tests/real/**', '**/tests/processes/**', '**/node_modules/**'],
          setupFiles: ['./scripts/paused-clock.ts', './scripts/fixed-seed.ts']
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
