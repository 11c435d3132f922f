import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { text } from 'node:stream/consumers'
import { fileURLToPath } from 'node:url'
import { expect, it, onTestFinished } from 'vitest'
import { createSettings } from '../real/support.js'

const MAIN = fileURLToPath(new URL('../../dist/main.js', import.meta.url))

function startDaemon (content: string): ChildProcess {
  const folder = mkdtempSync(join(tmpdir(), 'arbutustray-'))
  onTestFinished(() => rmSync(folder, { recursive: true }))
  const file = join(folder, 'settings.jsonc')
  writeFileSync(file, content)
  const child = spawn(process.execPath, [MAIN, file], { stdio: ['ignore', 'pipe', 'pipe'] })
  onTestFinished(() => { child.kill('SIGKILL') })
  return child
}

it('exits with 2 and reports line and key of an invalid setting, guarding against a start with unintended settings', async () => {
  const child = startDaemon('{\n  "instanceId": "i1",\n  "zone": 5\n}')
  const [error, [code]] = await Promise.all([text(child.stderr as NodeJS.ReadableStream), once(child, 'exit')])
  expect(code).toBe(2)
  expect(error).toMatch(/settings\.jsonc:3: zone: /)
})

it('exits with 0 after a graceful shutdown by SIGTERM, guarding against a stop that a supervisor counts as a crash', async () => {
  const child = startDaemon(JSON.stringify(createSettings({ logLevel: 'info' })))
  const stdout = child.stdout as NodeJS.ReadableStream
  const [line] = await once(stdout, 'data')
  expect(JSON.parse(String(line).split('\n')[0])).toMatchObject({ id: 'instance-started', fields: { instanceId: 'i1' } })
  expect(String(line)).not.toContain('-token')
  stdout.resume()
  child.kill('SIGTERM')
  const [code] = await once(child, 'exit')
  expect(code).toBe(0)
})
