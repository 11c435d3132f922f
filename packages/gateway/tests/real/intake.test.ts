import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'
import { Worker } from 'node:worker_threads'
import { request } from 'undici'
import { afterEach, beforeEach, expect, it } from 'vitest'
import { startTestGateway, upstreamEntry } from '../support.js'

/** An upstream in a thread of its own, so that it sees a request that is cancelled one turn of the instance's loop later. */
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

/** Callers in a thread of their own: each connects, sends a request, and leaves 100 ms later. */
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
const COUNT = 60
/** Length of the work in each turn of the loop, in milliseconds, as on an instance that gets the callers of several. */
const TURN_MS = 15

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

it('requests whose callers left before their connections were accepted are not sent on, guarding against work for nobody on a busy instance', async () => {
  // Connections to the upstream are open, so that a request would be written at once.
  await Promise.all(Array.from({ length: 20 }, async (_, index) => {
    const { body } = await request(`${gateway.origin}/read/${index}`, { headers: { host: 'shop.example', 'x-id': `warm-${index}`, 'x-object': '1', 'x-deadline': '2000' } })
    await body.dump()
  }))
  // The instance is past its start.
  await sleep(2_000)
  const { hostname, port } = new URL(gateway.origin)
  const busy = setInterval(() => {
    const endsAt = performance.now() + TURN_MS
    while (performance.now() < endsAt);
  }, 1)
  const callers = new Worker(CALLERS, { eval: true, workerData: { host: hostname, port: Number(port), count: COUNT } })
  await once(callers, 'message')
  await sleep(COUNT * TURN_MS * 3)
  clearInterval(busy)
  await callers.terminate()
  const served = runs.filter(id => id.startsWith('gone'))
  // The first ones are accepted while their callers still wait.
  expect(served.length).toBeLessThan(COUNT / 3)
})
