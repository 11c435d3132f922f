/**
 * Guards against a planned stop that takes an upload which it can't finish: the process ends while an upstream still works
 * on it, and nobody may send it again.
 */
import { request } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { listen, startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

const GRACE_MS = 2_000
const WORK_MS = 1_000
const SEND_INTERVAL_MS = 20
/** Time after the begin of the stop from which no request may be cut off. */
const NOT_CUT_AFTER_MS = 1_000

interface Upload { readonly sentAfterMs: number, readonly status: number | 'refused' | 'cut off', readonly retryAfter?: unknown }

it('refuses a late upload that may outlast the process and answers every one that it takes, guarding against lost uploads', async () => {
  const runs = new Set<string>()
  const { server, address } = await listen((incoming, response) => {
    const id = String(incoming.headers['x-id'])
    incoming.resume().once('end', () => {
      runs.add(id)
      setTimeout(() => response.writeHead(200, { 'x-id': id, 'x-signature': 's' }).end('stored'), WORK_MS)
    })
  })
  closing.push(async () => {
    server.closeAllConnections()
    server.close()
  })
  const gateway = await startTestGateway(Array.from({ length: 20 }, (_, index) => upstreamEntry(`u${index}`, address)), { graceMs: GRACE_MS })
  const stoppedAt = performance.now()
  const stopped = new AbortController()
  const stopping = gateway.gateway.stop(() => stopped.abort())
  const uploads: Array<Promise<Upload>> = []
  for (let id = 0; !stopped.signal.aborted; id += 1) {
    const sentAfterMs = performance.now() - stoppedAt
    uploads.push(request(`${gateway.origin}/buy/${id}`, {
      method: 'POST', body: 'photo', headers: { host: 'shop.example', 'x-id': `r-${id}`, 'x-object': String(id), 'x-deadline': '1500' }
    }).then(async ({ statusCode, headers, body }) => {
      await body.dump()
      // The stop closes the connections to upstreams, so a request that it cuts off is answered with 502 in this process.
      return { sentAfterMs, status: statusCode === 502 ? 'cut off' : statusCode, retryAfter: headers['retry-after'] }
    }, () => ({ sentAfterMs, status: runs.has(`r-${id}`) ? 'cut off' : 'refused' })))
    await new Promise(resolve => setTimeout(resolve, SEND_INTERVAL_MS))
  }
  await stopping
  const results = await Promise.all(uploads)
  const late = results.filter(({ sentAfterMs }) => sentAfterMs > NOT_CUT_AFTER_MS)
  expect(results.filter(({ status }) => status === 200).length).toBeGreaterThan(0)
  expect(late.length).toBeGreaterThan(0)
  expect(late.filter(({ status }) => status === 'cut off')).toEqual([])
  expect(results.filter(({ status }) => status === 503).length).toBeGreaterThan(0)
  expect(results.filter(({ status, retryAfter }) => status === 503 && retryAfter === undefined)).toEqual([])
})
