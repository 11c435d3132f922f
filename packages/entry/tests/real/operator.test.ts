import { EMPTY_CONFIGURATION } from '@arbutustray/core'
import type { Operation } from '@arbutustray/core'
import { startPlatform } from '@arbutustray/standins'
import type { PlatformStandin } from '@arbutustray/standins'
import { expect, it, onTestFinished, vi } from 'vitest'
import { startEntryInstance } from '../../src/index.js'
import type { EntryInstance } from '../../src/index.js'
import { CONFIGURATION, sendAnswer, createSettings, startUpstream, listedUpstream, url } from './support.js'

interface EntryWithPlatform { readonly platform: PlatformStandin, readonly entry: EntryInstance }

const DRAIN: Operation = { table: 'drains', put: { kind: 'upstream', target: 'u1' } }

async function storeConfiguration (platform: PlatformStandin, version: number): Promise<void> {
  const stored = await fetch(`${platform.url}/objects/configuration`)
  const expected = stored.status === 404 ? 0 : (await stored.json() as { version: number }).version
  const body = JSON.stringify({ ...CONFIGURATION, version })
  await fetch(`${platform.url}/objects/configuration?expect=${expected}`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body })
}

async function startWithPlatform (version?: number): Promise<EntryWithPlatform> {
  const platform = await startPlatform()
  onTestFinished(async () => await platform.close())
  if (version !== undefined) await storeConfiguration(platform, version)
  const entry = await startEntryInstance(createSettings({ platformUrl: platform.url }))
  onTestFinished(async () => await entry.close())
  await vi.waitFor(() => expect(entry.engine.configuration()?.version).toBe(version ?? 0), { timeout: 3_000 })
  return { platform, entry }
}

async function call (entry: EntryInstance, method: string, path: string, body?: unknown, token = 'operator-token'): Promise<{ status: number, body: any }> {
  const response = await fetch(`http://${entry.addresses.operator}${path}`, {
    method, headers: { authorization: `Bearer ${token}` }, ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
  const text = await response.text()
  return { status: response.status, body: text.startsWith('{') || text.startsWith('[') ? JSON.parse(text) : text }
}

async function confirmationOf (entry: EntryInstance, operations: readonly Operation[], changeId: string): Promise<object> {
  const { body: plan } = await call(entry, 'POST', '/v1/plans', { operations })
  return { planId: plan.planId, baseVersion: plan.baseVersion, operations, changeId, actor: 'ana', reason: 'maintenance' }
}

it('requires the bearer token, guarding against unauthorised access', async () => {
  const { entry } = await startWithPlatform(7)
  for (const path of ['/v1/status', '/v1/configuration', '/metrics', '/v1/changes']) {
    expect((await call(entry, 'GET', path, undefined, 'wrong')).status).toBe(401)
    expect((await call(entry, 'GET', path)).status).toBe(200)
  }
  expect((await call(entry, 'GET', '/v1/status')).body).toMatchObject({ instanceId: 'i1', zone: 'zagreb-1', version: 7, state: 'ready' })
  expect((await call(entry, 'GET', '/metrics')).body).toContain('arbutustray_configuration_version 7')
  expect((await call(entry, 'GET', '/constructor')).status).toBe(404)
})

it('commits a confirmed plan once and refuses an outdated one, guarding against changes that no operator has reviewed', async () => {
  const { entry } = await startWithPlatform(7)
  const first = await confirmationOf(entry, [DRAIN], 'c1')
  const stale = await confirmationOf(entry, [{ table: 'drains', put: { kind: 'upstream', target: 'u2' } }], 'c2')
  expect(await call(entry, 'POST', '/v1/confirmations', first)).toEqual({ status: 200, body: { version: 8 } })
  expect(await call(entry, 'POST', '/v1/confirmations', first)).toEqual({ status: 200, body: { version: 8 } })
  const refused = await call(entry, 'POST', '/v1/confirmations', stale)
  expect([refused.status, refused.body.plan.baseVersion]).toEqual([409, 8])
  expect((await call(entry, 'GET', '/v1/changes')).body).toMatchObject([{ version: 8, changeId: 'c1', actor: 'ana' }])
  const blocked = await confirmationOf(entry, [{ table: 'drains', put: { kind: 'zone', target: 'zagreb-1' } }], 'c3')
  const answered = await call(entry, 'POST', '/v1/confirmations', blocked)
  expect([answered.status, answered.body.blockers.length > 0]).toEqual([422, true])
  expect((await call(entry, 'POST', '/v1/confirmations', { ...first, actor: 5 })).status).toBe(400)
})

it('resolves a write whose reply was lost, guarding against reporting an applied change as refused', async () => {
  const { platform, entry } = await startWithPlatform(7)
  const change = await confirmationOf(entry, [DRAIN], 'c1')
  platform.switches.loseReplies = 1
  expect(await call(entry, 'POST', '/v1/confirmations', change)).toEqual({ status: 200, body: { version: 8 } })
})

it('commits the first change on an empty platform, guarding against a platform that can not be set up', async () => {
  const { entry } = await startWithPlatform()
  const change = await confirmationOf(entry, [{ table: 'regions', put: { id: 'zagreb' } }], 'c1')
  expect(await call(entry, 'POST', '/v1/confirmations', change)).toEqual({ status: 200, body: { version: 1 } })
  expect(entry.engine.configuration()?.regions).toEqual([{ id: 'zagreb' }])
  expect(EMPTY_CONFIGURATION.regions).toEqual([])
})

it('serves requests during an outage of the platform and synchronises afterwards, guarding against refused requests', async () => {
  const { platform, entry } = await startWithPlatform(7)
  platform.putInstances([listedUpstream(await startUpstream((request, response) => sendAnswer(request, response, 200, 'ok')))])
  await vi.waitFor(() => expect(entry.engine.world.upstreams.size).toBe(1), { timeout: 3_000 })
  const change = await confirmationOf(entry, [DRAIN], 'c1')
  platform.switches.down = true
  await vi.waitFor(async () => expect((await call(entry, 'POST', '/v1/confirmations', change)).status).toBe(503), { timeout: 8_000 })
  expect((await fetch(url(entry, '/v1/services/token/'))).status).toBe(200)
  platform.switches.down = false
  await storeConfiguration(platform, 9)
  await vi.waitFor(() => expect(entry.engine.configuration()?.version).toBe(9), { timeout: 8_000 })
})

it('finds the zone of clients by the client blocks, guarding against traffic counted for the wrong zone', async () => {
  const { platform, entry } = await startWithPlatform(7)
  const storeObject = async (name: string, value: unknown): Promise<void> => {
    await fetch(`${platform.url}/objects/${name}?expect=0`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify(value) })
  }
  await storeObject('client-blocks-0', { blocks: [['10.1.0.0/16', 'zagreb-1', 'pula'], ['nonsense', 'zagreb-1', 'pula']] })
  await storeObject('client-blocks', { parts: 1 })
  await vi.waitFor(() => expect(entry.engine.world.clientBlocks?.findOrigin('10.1.2.3')).toEqual({ zone: 'zagreb-1', tenant: 'pula' }))
})

it('explains a request by the x-request-id of its caller, guarding against requests that can not be audited', async () => {
  const { platform, entry } = await startWithPlatform(7)
  platform.putInstances([listedUpstream(await startUpstream((request, response) => sendAnswer(request, response, 200, 'ok')))])
  await vi.waitFor(() => expect(entry.engine.world.upstreams.size).toBe(1), { timeout: 3_000 })
  await (await fetch(url(entry, '/v1/services/token/'), { headers: { 'x-request-id': 'audit-1' } })).text()
  await vi.waitFor(async () => {
    expect(await call(entry, 'GET', '/v1/explain?request=audit-1')).toMatchObject({
      status: 200, body: { requestId: 'audit-1', service: 'token', outcome: 'served', reason: 'home-zone', attempts: [{ target: 'u1' }] }
    })
  })
  expect((await call(entry, 'GET', '/v1/explain?request=unseen')).status).toBe(404)
})
