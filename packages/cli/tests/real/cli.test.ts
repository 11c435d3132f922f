import type { Plan } from '@arbutustray/core'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { EMPTY_CONFIGURATION } from '@arbutustray/core'
import { once } from 'node:events'
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { json, text } from 'node:stream/consumers'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { createCli, EXIT } from '../../src/index.js'

const plan: Plan = {
  planId: 'p1',
  baseVersion: 3,
  operations: [{ table: 'drains', put: { kind: 'upstream', target: 'u1' } }],
  moves: [{ service: 'token', fromZone: 'z1', toZone: 'z2', share: 0.125, cap: 0.3 }],
  blockers: []
}

describe('arbutustray', () => {
  let server: Server
  let directory: string
  let answers: Record<string, readonly [number, unknown] | 'hang-up'>
  let received: Array<{ call: string, token?: string, body: any }>

  beforeEach(async () => {
    directory = await mkdtemp(join(tmpdir(), 'arbutustray-cli-'))
    received = []
    answers = { 'POST /v1/plans': [200, plan], 'POST /v1/confirmations': [200, { version: 4 }] }
    server = createServer((request, response) => {
      const serve = async (): Promise<void> => {
        const call = `${request.method} ${request.url}`
        const body = request.method === 'POST' ? await json(request) : undefined
        received.push({ call, token: request.headers.authorization, body })
        const answer = answers[call] ?? [404, { error: 'not-found', reason: 'no such call' }]
        if (answer === 'hang-up') response.destroy()
        else response.writeHead(answer[0], { connection: 'close' }).end(JSON.stringify(answer[1]))
      }
      serve().catch(() => response.destroy())
    })
    await once(server.listen(0, '127.0.0.1'), 'listening')
  })

  afterEach(async () => {
    server.close()
    await rm(directory, { recursive: true })
  })

  async function run (...args: string[]) {
    const stdout = new PassThrough()
    const stderr = new PassThrough()
    const env = { ARBUTUSTRAY_TOKEN: 'secret', ARBUTUSTRAY_OPERATOR: `127.0.0.1:${(server.address() as AddressInfo).port}` }
    const code = await createCli().run(args, { stdout, stderr, stdin: new PassThrough(), env, colorDepth: 1 })
    stdout.end()
    stderr.end()
    return { code, stdout: await text(stdout), stderr: await text(stderr) }
  }

  const auditOptions = ['--actor', 'ana', '--reason', 'test']

  it('plans a file against the current configuration, and confirms the written plan with a new change id', async () => {
    const file = join(directory, 'c.jsonc')
    const out = join(directory, 'plan.json')
    await writeFile(file, '{ "regions": [{ "id": "r1" }, { "id": "r2" }] /* zones stay */ }')
    const current = { ...EMPTY_CONFIGURATION, version: 3, regions: [{ id: 'r2' }, { id: 'r3' }], zones: [{ id: 'z1', region: 'r2', instances: 1 }] }
    answers['GET /v1/configuration'] = [200, current]
    const planned = await run('plan', file, '--out', out)
    expect(planned.code).toBe(EXIT.ok)
    expect(received[1]).toEqual({
      call: 'POST /v1/plans',
      token: 'Bearer secret',
      body: { operations: [{ table: 'regions', put: { id: 'r1' } }, { table: 'regions', remove: 'r3' }] }
    })
    expect(planned.stdout).toContain('plan p1 on version 3')
    expect(planned.stdout).toMatch(/token +z1 +z2 +12\.5% +30\.0%/)
    expect(JSON.parse(await readFile(out, 'utf8'))).toEqual(plan)

    const first = await run('confirm', out, ...auditOptions)
    const second = await run('confirm', out, ...auditOptions)
    expect([first.code, first.stdout]).toEqual([EXIT.ok, 'accepted as version 4\n'])
    expect(received.at(-1)?.body).toMatchObject({ planId: 'p1', baseVersion: 3, operations: plan.operations, actor: 'ana', reason: 'test' })
    expect(received.at(-1)?.body.changeId).not.toBe(received.at(-2)?.body.changeId)
    expect(second.code).toBe(EXIT.ok)
  })

  it.each([
    ['a conflict', [409, { plan: { ...plan, planId: 'p2' } }], EXIT.conflict],
    ['blockers', [422, { blockers: ['too few slots'] }], EXIT.blocked],
    ['an outage of the platform', [503, { reason: 'platform down' }], EXIT.unavailable],
    ['a write with an unknown outcome', [202, { reason: 'unknown' }], EXIT.unknown],
    ['a lost answer', 'hang-up', EXIT.unknown],
    ['an internal error of the instance', [500, { error: 'internal', reason: 'x' }], EXIT.unknown],
    ['a wrong token', [401, { error: 'unauthorised', reason: 'x' }], EXIT.refused]
  ] as const)('returns the documented exit code for %s, guarding against scripts that repeat a change that took effect', async (_name, answer, code) => {
    answers['POST /v1/confirmations'] = answer
    const result = await run('drain', 'u1', '--yes', ...auditOptions)
    expect(result.code).toBe(code)
    if (code === EXIT.unknown) expect(result.stderr).toContain(`change id ${received.at(-1)?.body.changeId}`)
  })

  it('changes nothing without confirmation, actor and reason or if the plan is blocked', async () => {
    expect((await run('drain', 'u1', ...auditOptions)).code).toBe(EXIT.unconfirmed)
    expect((await run('drain', 'u1', '--yes')).code).toBe(EXIT.usage)
    answers['POST /v1/plans'] = [200, { ...plan, blockers: ['x'] }]
    expect((await run('drain', 'u1', '--yes', ...auditOptions)).code).toBe(EXIT.blocked)
    expect(received.map(({ call }) => call)).not.toContain('POST /v1/confirmations')
  })

  it('undrain names the drain by the key of its row, guarding against an undrain that removes nothing', async () => {
    await run('undrain', 'z1', '--kind', 'zone', '--service', 'token', '--yes', ...auditOptions)
    expect(received[0]?.body).toEqual({ operations: [{ table: 'drains', remove: 'zone:z1:token' }] })
  })

  it('reports errors in a file, the schema errors with their line, and sends nothing', async () => {
    const file = join(directory, 'c.jsonc')
    await writeFile(file, '{\n  "regions": [{ "name": "r1" }]\n}')
    for (const command of ['check', 'plan']) {
      const result = await run(command, file)
      expect([result.code, result.stderr]).toEqual([EXIT.usage, expect.stringContaining(`${file}:2: regions[0].id: expected string`)])
    }
    await writeFile(file, '{ "regions": [{ "id": "r" }], "zones": [], "services": [], "links": [{ "from": "r", "to": "r", "mbitPerSecond": 1 }] }')
    expect((await run('check', file)).stderr).toBe(`${file}: links r>r: a link joins two different regions\n`)
    expect(received).toEqual([])
  })

  it('changes prints who changed what and why, guarding against changes that an auditor cannot trace', async () => {
    const change = { version: 4, changeId: 'c4', actor: 'ana', reason: 'disk replacement', at: 0, operations: plan.operations }
    answers['GET /v1/changes'] = [200, [change, { ...change, version: 5, operations: [{ table: 'drains', remove: 'upstream:u1' }] }]]
    const { code, stdout } = await run('changes')
    expect(code).toBe(EXIT.ok)
    for (const part of ['ana', 'disk replacement', '1970-01-01T00:00:00.000Z', 'put drains upstream:u1', 'remove drains upstream:u1']) {
      expect(stdout).toContain(part)
    }
  })

  it('explain prints the text of a reason, and failed calls return the exit code of their error', async () => {
    answers['GET /v1/explain?request=q1'] = [200, {
      requestId: 'q1', at: 0, service: 'token', originZone: 'z1', configurationVersion: 3, outcome: 'not-run', reason: 'shift-cap', attempts: []
    }]
    const result = await run('explain', 'q1')
    expect(result.stdout).toContain('shift-cap: the shift cap of the service keeps the request from moving')
    expect((await run('explain', 'q2')).code).toBe(EXIT.refused)
    answers['GET /v1/status'] = [503, { reason: 'no-configuration', message: 'text' }]
    expect(await run('status')).toEqual({ code: EXIT.unavailable, stdout: '', stderr: 'unavailable: no-configuration: text\n' })
  })
})
