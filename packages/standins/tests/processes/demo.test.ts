import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { expect, it } from 'vitest'

const main = fileURLToPath(new URL('../../dist/demo/main.js', import.meta.url))

it('runs the demo without a lost request or a broken guarantee, guarding against faults in the interplay of the processes', async () => {
  // If the demo fails, its standard output states why.
  const { stdout } = await promisify(execFile)(process.execPath, [main]).catch((error: { readonly stdout: string }) => error)
  expect(stdout).toContain(' 0 broken guarantees')
  expect(stdout.trimEnd().split('\n').at(-1)).toMatch(/^demo: 606 requests, \d+ whole, \d+ refused, 0 lost$/)
})
