import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { request } from 'undici'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { startTestGateway, upstreamEntry } from '../support.js'

/** An upstream in its own thread, so that it receives a request even if the instance cancels it one loop iteration later. */
const UPSTREAM = `
  const { createServer } = require('node:http')
  const { parentPort } = require('node:worker_threads')
  const server = createServer((request, response) => {
    const id = request.headers['x-id']
    parentPort.postMessage({ run: id })
    setTimeout(() => response.writeHead(200, { 'x-id': id, 'x-signature': 's' }).end('ok'), 5)
  })
  server.listen(0, '127.0.0.1', () => parentPort.postMessage({ address: '127.0.0.1:' + server.address().port }))
`

/** Callers in their own thread: each connects, sends a request, and disconnects 100 ms later. */
const CALLERS = `
  const { connect } = require('node:net')
  const { workerData, parentPort } = require('node:worker_threads')
  const { host, port, count } = workerData
  let left = count
  for (let index = 0; index < count; index += 1) {
    const socket = connect(port, host)
    socket.on('error', () => {})
    socket.write('GET /read/' + index + ' HTTP/1.1\\r\\nhost: shop.example\\r\\nx-id: gone-' + index + '\\r\\nx-object: 1\\r\\nx-deadline: 2000\\r\\n\\r\\n')
    setTimeout(() => {
      socket.end()
      left -= 1
      if (left === 0) parentPort.postMessage('left')
    }, 100)
  }
`
const CALLER_COUNT = 60
/** Time for which each loop iteration is blocked, as on an instance that gets the callers of several. */
const BLOCK_MS = 15

let gateway: Awaited<ReturnType<typeof startTestGateway>>
let upstream: Worker
let runs: string[]

beforeEach(async () => {
  runs = []
  upstream = new Worker(UPSTREAM, { eval: true })
  const [{ address }] = await once(upstream, 'message') as [{ readonly address: string }]
  upstream.on('message', ({ run }: { readonly run: string }) => runs.push(run))
  gateway = await startTestGateway([upstreamEntry('up-1', address)])
})

afterEach(async () => {
  await gateway.stop()
  await upstream.terminate()
})

it('does not forward requests whose callers disconnected before their connections were accepted, guarding against wasted work on a busy instance', async () => {
  // Opens connections to the upstream, so that a request would be written immediately.
  await Promise.all(Array.from({ length: 20 }, async (_, index) => {
    const { body } = await request(`${gateway.origin}/read/${index}`, { headers: { host: 'shop.example', 'x-id': `warm-${index}`, 'x-object': '1', 'x-deadline': '2000' } })
    await body.dump()
  }))
  // Waits until the instance's start-up work is over.
  await sleep(2_000)
  const { hostname, port } = new URL(gateway.origin)
  const busy = setInterval(() => {
    const endsAt = performance.now() + BLOCK_MS
    while (performance.now() < endsAt);
  }, 1)
  const callers = new Worker(CALLERS, { eval: true, workerData: { host: hostname, port: Number(port), count: CALLER_COUNT } })
  await once(callers, 'message')
  await sleep(CALLER_COUNT * BLOCK_MS * 3)
  clearInterval(busy)
  await callers.terminate()
  const served = runs.filter(id => id.startsWith('gone'))
  // The first connections are accepted while their callers are still connected.
  expect(served.length).toBeLessThan(CALLER_COUNT / 3)
})
