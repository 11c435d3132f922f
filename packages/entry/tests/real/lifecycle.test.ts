import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect, it } from 'vitest'
import { SERVICE, CONFIGURATION, answer, listen, startConfigured, startUpstream, url } from './support.js'

it('lets the request in flight finish and serves late ones during a planned stop, guarding against interrupted work', async () => {
  const upstream = await startUpstream((request, response) => {
    setTimeout(() => answer(request, response, 200, 'whole'), request.url === '/slow' ? 11_000 : 0)
  })
  const configuration = { ...CONFIGURATION, version: 8, services: [{ ...SERVICE, deadlineMs: 15_000 }] }
  const entry = await startConfigured([upstream])
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

it('sends a hedge to another upstream and cancels the loser, guarding against work that nobody waits for', async () => {
  let cancelled = 0
  const upstreams = await Promise.all([1, 2].map(async () => await startUpstream((request, response) => {
    if (slowNow) {
      slowNow = false
      response.on('close', () => { cancelled += 1 })
      return
    }
    setTimeout(() => answer(request, response, 200, 'ok'), 2)
  })))
  let slowNow = false
  const entry = await startConfigured(upstreams)
  for (let index = 0; index < 300; index += 1) await (await fetch(url(entry, '/v1/services/token/warm'))).text()
  slowNow = true
  const response = await fetch(url(entry, '/v1/services/token/'))
  expect([response.status, response.headers.get('arbutustray-reason')]).toEqual([200, 'hedged'])
  await sleep(50)
  expect(cancelled).toBe(1)
})

it('runs a protected request once and replays its answer, guarding against a second purchase', async () => {
  let runs = 0
  const upstream = await startUpstream((request, response) => {
    runs += 1
    answer(request, response, 201, 'bought', { 'content-length': '6', 'x-receipt': '9' })
  })
  const entry = await startConfigured([upstream])
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

it('tries another upstream when a connection is refused, guarding against needless refusals', async () => {
  const good = await startUpstream((request, response) => answer(request, response, 200, 'ok'))
  const gone = createServer()
  const refused = await listen(gone)
  gone.close()
  for (const order of [[refused, good], [good, refused]]) {
    const entry = await startConfigured(order)
    const response = await fetch(url(entry, '/v1/services/token/'), { method: 'POST', body: 'x' })
    expect([response.status, response.headers.get('arbutustray-outcome')]).toEqual([200, 'served'])
  }
})

it('keeps work away from upstreams that refuse at once, guarding against fast failures that attract all requests', async () => {
  const good = await startUpstream((request, response) => answer(request, response, 200, 'ok'))
  const shedding = await startUpstream((request, response) => answer(request, response, 503, '', { 'x-load-shed': '1' }))
  const gone = createServer()
  const refused = await listen(gone)
  gone.close()
  const entry = await startConfigured([refused, shedding, good])
  const statuses: number[] = []
  for (let index = 0; index < 60; index += 1) {
    statuses.push((await fetch(url(entry, '/v1/services/token/'), { method: 'POST', body: 'x' })).status)
  }
  expect(statuses).toEqual(Array.from({ length: 60 }, () => 200))
})

it('answers a shed upload as not run, because its body is gone, guarding against a part sent as the whole', async () => {
  const bodies: number[] = []
  const shedding = await startUpstream((request, response) => {
    request.once('data', () => answer(request, response, 503, '', { 'x-load-shed': '1' }))
    request.on('close', () => bodies.push(1))
  })
  const entry = await startConfigured([shedding, shedding])
  const response = await fetch(url(entry, '/v1/services/token/ledger'), { method: 'PUT', body: Buffer.alloc(4 * 1_024 * 1_024) })
  expect([response.status, response.headers.get('arbutustray-outcome')]).toEqual([503, 'not-run'])
  expect(bodies.length).toBeLessThanOrEqual(1)
})

it('tells the caller of a broken repeatable upload that it may have run, guarding against a false not-run', async () => {
  const upstreams = await Promise.all([1, 2].map(async () =>
    await startUpstream(request => request.on('data', () => {}).on('end', () => request.socket.destroy()))))
  const entry = await startConfigured(upstreams)
  const services = [{ ...SERVICE, routes: [{ method: '*', prefix: '/', kind: 'repeatable', length: 'long' } as const] }]
  entry.emit({ type: 'configuration-received', configuration: { ...CONFIGURATION, version: 8, services }, source: 'platform' })
  const response = await fetch(url(entry, '/v1/services/token/ledger'), { method: 'PUT', body: 'x'.repeat(100_000) })
  expect(response.headers.get('arbutustray-outcome')).toBe('unknown')
})
