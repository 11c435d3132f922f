import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, it } from 'vitest'
import { SERVICE, CONFIGURATION, sendAnswer, listen, startConfiguredEntry, startUpstream, url } from './support.js'

it('finishes the request in flight and serves new ones during a graceful shutdown, guarding against aborted requests', async () => {
  const upstream = await startUpstream((request, response) => {
    setTimeout(() => sendAnswer(request, response, 200, 'whole'), request.url === '/slow' ? 11_000 : 0)
  })
  const configuration = { ...CONFIGURATION, version: 8, services: [{ ...SERVICE, deadlineMs: 15_000 }] }
  const entry = await startConfiguredEntry([upstream])
  entry.emit({ type: 'configuration-received', configuration, source: 'platform' })
  const slow = fetch(url(entry, '/v1/services/token/slow'), { method: 'POST', body: 'x' })
  await sleep(100)
  const stopped = entry.stop()
  expect((await fetch(url(entry, '/v1/services/token/quick'))).status).toBe(200)
  const health = await fetch(`http://${entry.addresses.operator}/health`)
  expect([health.status, await health.json()]).toEqual([503, { state: 'leaving' }])
  expect(await (await slow).text()).toBe('whole')
  await stopped
  await expect(fetch(url(entry, '/v1/services/token/quick'))).rejects.toThrow()
})

it('sends a hedge to another upstream and cancels the slower attempt, guarding against work whose answer is not used', async () => {
  let cancelled = 0
  const upstreams = await Promise.all([1, 2].map(async () => await startUpstream((request, response) => {
    if (isNextSlow) {
      isNextSlow = false
      response.on('close', () => { cancelled += 1 })
      return
    }
    setTimeout(() => sendAnswer(request, response, 200, 'ok'), 2)
  })))
  let isNextSlow = false
  const entry = await startConfiguredEntry(upstreams)
  for (let index = 0; index < 300; index += 1) await (await fetch(url(entry, '/v1/services/token/warm'))).text()
  isNextSlow = true
  const response = await fetch(url(entry, '/v1/services/token/'))
  expect([response.status, response.headers.get('arbutustray-reason')]).toEqual([200, 'hedged'])
  await sleep(50)
  expect(cancelled).toBe(1)
})

it('executes a protected request once and replays its answer, guarding against a duplicate execution', async () => {
  let runs = 0
  const upstream = await startUpstream((request, response) => {
    runs += 1
    sendAnswer(request, response, 201, 'bought', { 'content-length': '6', 'x-receipt': '9' })
  })
  const entry = await startConfiguredEntry([upstream])
  const routes = [{ method: 'POST', prefix: '/', kind: 'protected', length: 'short' }] as const
  entry.emit({
    type: 'configuration-received', source: 'platform', configuration: { ...CONFIGURATION, version: 8, services: [{ ...SERVICE, routes }] }
  })
  const issued = await fetch(url(entry, '/v1/keys'), { method: 'POST', body: JSON.stringify({ service: 'token', count: 1 }) })
  const { keys: [key] } = await issued.json() as { keys: string[] }
  const buy = async (headers: Record<string, string>): Promise<unknown[]> => {
    const response = await fetch(url(entry, '/v1/services/token/buy'), { method: 'POST', body: 'x', headers })
    return [response.status, response.headers.get('arbutustray-reason'), response.headers.get('x-receipt'), await response.text()]
  }
  expect(await buy({ 'idempotency-key': key })).toEqual([201, 'home-zone', '9', 'bought'])
  expect(await buy({ 'idempotency-key': key })).toEqual([201, 'replayed', '9', 'bought'])
  expect((await buy({})).slice(0, 2)).toEqual([400, 'key-required'])
  expect(runs).toBe(1)
})

it('retries at another upstream after a refused connection, guarding against needless refusals', async () => {
  const good = await startUpstream((request, response) => sendAnswer(request, response, 200, 'ok'))
  const closedServer = createServer()
  const closedAddress = await listen(closedServer)
  closedServer.close()
  for (const order of [[closedAddress, good], [good, closedAddress]]) {
    const entry = await startConfiguredEntry(order)
    const response = await fetch(url(entry, '/v1/services/token/'), { method: 'POST', body: 'x' })
    expect([response.status, response.headers.get('arbutustray-outcome')]).toEqual([200, 'served'])
  }
})

it('avoids upstreams that refuse at once, guarding against fast failures that attract all requests', async () => {
  const good = await startUpstream((request, response) => sendAnswer(request, response, 200, 'ok'))
  const shedding = await startUpstream((request, response) => sendAnswer(request, response, 503, '', { 'x-load-shed': '1' }))
  const closedServer = createServer()
  const closedAddress = await listen(closedServer)
  closedServer.close()
  const entry = await startConfiguredEntry([closedAddress, shedding, good])
  const statuses: number[] = []
  for (let index = 0; index < 60; index += 1) {
    statuses.push((await fetch(url(entry, '/v1/services/token/'), { method: 'POST', body: 'x' })).status)
  }
  expect(statuses).toEqual(Array.from({ length: 60 }, () => 200))
})

it('answers a refused upload as not run and does not retry it, guarding against resending a partly consumed body', async () => {
  const bodies: number[] = []
  const shedding = await startUpstream((request, response) => {
    request.once('data', () => sendAnswer(request, response, 503, '', { 'x-load-shed': '1' }))
    request.on('close', () => bodies.push(1))
  })
  const entry = await startConfiguredEntry([shedding, shedding])
  const response = await fetch(url(entry, '/v1/services/token/ledger'), { method: 'PUT', body: Buffer.alloc(4 * 1_024 * 1_024) })
  expect([response.status, response.headers.get('arbutustray-outcome')]).toEqual([503, 'not-run'])
  expect(bodies.length).toBeLessThanOrEqual(1)
})

it('answers a repeatable upload with outcome unknown after a broken attempt, guarding against a false not-run', async () => {
  const upstreams = await Promise.all([1, 2].map(async () =>
    await startUpstream(request => request.on('data', () => {}).on('end', () => request.socket.destroy()))))
  const entry = await startConfiguredEntry(upstreams)
  const services = [{ ...SERVICE, routes: [{ method: '*', prefix: '/', kind: 'repeatable', length: 'long' } as const] }]
  entry.emit({ type: 'configuration-received', configuration: { ...CONFIGURATION, version: 8, services }, source: 'platform' })
  const response = await fetch(url(entry, '/v1/services/token/ledger'), { method: 'PUT', body: 'x'.repeat(100_000) })
  expect(response.headers.get('arbutustray-outcome')).toBe('unknown')
})
