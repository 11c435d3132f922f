import type { ChildProcess } from 'node:child_process'
import { execFile, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'
import { afterAll, beforeAll, expect, it, vi } from 'vitest'
import { EXIT } from '../../src/index.js'

const file = (path: string): string => fileURLToPath(new URL(`../../../../${path}`, import.meta.url))
const association = file('examples/configuration/association.jsonc')
const directory = mkdtempSync(join(tmpdir(), 'arbutustray-cli-'))
const children: ChildProcess[] = []
let environment: Record<string, string>
let platformUrl: string

function start (script: string, ...args: string[]): ChildProcess {
  const child = spawn(process.execPath, [file(script), ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
  children.push(child)
  return child
}

async function freePort (): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address() as { port: number }
  await once(server.close(), 'close')
  return port
}

async function run (...args: string[]): Promise<{ code: number, stdout: string, stderr: string }> {
  return await new Promise(resolve => {
    execFile(process.execPath, [file('packages/cli/dist/main.js'), ...args], { env: environment }, (error, stdout, stderr) =>
      resolve({ code: Number(error?.code ?? 0), stdout, stderr }))
  })
}

beforeAll(async () => {
  const platform = start('packages/standins/dist/platform/main.js')
  const [line] = await once(createInterface({ input: platform.stdout! }), 'line')
  platformUrl = JSON.parse(line).url
  const [caller, operator, peer] = [await freePort(), await freePort(), await freePort()].map(port => `127.0.0.1:${port}`)
  const settings = join(directory, 'entry.json')
  writeFileSync(settings, JSON.stringify({
    instanceId: 'e1',
    zone: 'zagreb-1',
    callerAddress: caller,
    operatorAddress: operator,
    peerAddress: peer,
    platformUrl,
    peerToken: 'p',
    operatorToken: 'o',
    logLevel: 'error'
  }))
  start('packages/entry/dist/main.js', settings)
  environment = {
    ARBUTUSTRAY_OPERATOR: operator!, ARBUTUSTRAY_CALLER: caller!, ARBUTUSTRAY_TOKEN: 'o', ARBUTUSTRAY_ACTOR: 'ana', NO_COLOR: '1'
  }
  await vi.waitFor(async () => expect((await run('status')).stdout).toContain('ready'), { timeout: 20_000, interval: 200 })
})

afterAll(() => {
  for (const child of children) child.kill('SIGKILL')
  rmSync(directory, { recursive: true })
})

it('makes changes through a real entry instance, guarding against requests that the entry instance does not accept', async () => {
  const out = join(directory, 'plan.json')
  expect((await run('plan', association, '--out', out)).code).toBe(EXIT.ok)
  expect((await run('confirm', out, '--reason', 'first')).stdout).toBe('accepted as version 1\n')
  expect((await run('confirm', out, '--reason', 'again')).code).toBe(EXIT.conflict)
  expect(await run('apply', association, '--reason', 'again')).toMatchObject({ code: EXIT.ok, stderr: 'nothing to change\n' })

  const drain = await run('drain', 'zagreb-1', '--kind', 'zone', '--reason', 'maintenance', '--yes')
  expect(drain.stdout).toMatch(/token +zagreb-1 +zagreb-2 +100\.0%/)
  expect(drain.stdout).toContain('accepted as version 2')
  expect((await run('undrain', 'zagreb-1', '--kind', 'zone', '--reason', 'done', '--yes')).code).toBe(EXIT.ok)
  expect((await run('undrain', 'zagreb-1', '--kind', 'zone', '--reason', 'done', '--yes')).code).toBe(EXIT.blocked)
  expect((await run('lookup', 'token')).stdout).toMatch(/^version 3, valid for 5000 ms\n.*\n +e1 +zagreb-1/)
  expect((await run('status', '--token', 'wrong')).code).toBe(EXIT.refused)
})

it('reports that nothing was changed while the platform is unavailable', async () => {
  await fetch(`${platformUrl}/control`, { method: 'POST', body: '{"down":true}' })
  expect((await run('drain', 'u1', '--reason', 'x', '--yes')).code).toBe(EXIT.unavailable)
})
