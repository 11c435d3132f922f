import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import { expect, it } from 'vitest'

const main = fileURLToPath(new URL('../../dist/demo/main.js', import.meta.url))

it('ends the demo with nothing lost and no broken guarantee, guarding against faults between the parts', async () => {
  // A demo that fails has said why on its standard output.
  const { stdout } = await promisify(execFile)(process.execPath, [main]).catch((error: { readonly stdout: string }) => error)
  expect(stdout).toContain(' 0 broken guarantees')
  expect(stdout.trimEnd().split('\n').at(-1)).toMatch(/^demo: 606 requests, \d+ whole, \d+ refused, 0 lost$/)
})
