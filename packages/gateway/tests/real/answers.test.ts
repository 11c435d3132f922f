import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { once } from 'node:events'
import { connect } from 'node:net'
import { request } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { listen, startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

type Upstream = (request: IncomingMessage, response: ServerResponse) => void

async function start (...upstreams: readonly Upstream[]): Promise<string> {
  const servers: Array<{ readonly server: Server, readonly address: string }> = []
  for (const upstream of upstreams) servers.push(await listen(upstream))
  const gateway = await startTestGateway(servers.map(({ address }, index) => upstreamEntry(`upstream-${index}`, address)))
  closing.push(gateway.stop, ...servers.map(({ server }) => async () => {
    server.closeAllConnections()
    server.close()
  }))
  return gateway.origin
}

interface Call { readonly method?: 'POST', readonly body?: string }

interface Reply { readonly status: number, readonly text: string, readonly retryAfter: unknown, readonly length: unknown, readonly encoding: unknown }

async function call (origin: string, path: string, { method, body }: Call = {}): Promise<Reply> {
  const reply = await request(`${origin}${path}`, {
    method: method ?? 'GET',
    body: body ?? null,
    headers: { host: 'shop.example', 'x-id': 'r-1', 'x-object': path.slice(-1), 'x-deadline': '1500' }
  })
  const { 'retry-after': retryAfter, 'content-length': length, 'transfer-encoding': encoding } = reply.headers
  return { status: reply.statusCode, text: await reply.body.text(), retryAfter, length, encoding }
}

/** Sends the header and a part of an answer without a length, then ends or resets the connection. */
function closeDelimited (end: 'finish' | 'reset'): Upstream {
  return (request, response) => {
    const { socket } = request
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${String(request.headers['x-id'])}\r\nx-signature: s\r\nconnection: close\r\n\r\npart`)
    setTimeout(() => {
      if (end === 'finish') socket.end(' and rest')
      else socket.resetAndDestroy()
    }, 30)
  }
}

const whole: Upstream = (request, response) => {
  response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-signature': 's' }).end('whole')
}

it('relays an answer without a length without one, guarding against a truncated answer that looks complete', async () => {
  expect(await call(await start(closeDelimited('finish')), '/read/1')).toMatchObject({
    status: 200, text: 'part and rest', length: undefined, encoding: undefined
  })
})

it('answers 502 if the connection is reset during an answer without a length, guarding against undici reporting it as complete', async () => {
  const { status, text } = await call(await start(closeDelimited('reset')), '/buy/1', { method: 'POST', body: 'x' })
  expect({ status, text }).toEqual({ status: 502, text: '' })
})

it('does not relay an answer with another request id, guarding against crossed answers', async () => {
  const crossed: Upstream = (_request, response) => response.writeHead(200, { 'x-id': 'other', 'x-signature': 's' }).end('other')
  expect((await call(await start(crossed), '/buy/1', { method: 'POST', body: 'x' })).status).toBe(502)
})

it('does not relay a successful answer without a signature, guarding against bytes that the upstream did not send', async () => {
  const unsigned: Upstream = (request, response) => response.writeHead(200, { 'x-id': String(request.headers['x-id']) }).end('?')
  expect((await call(await start(unsigned), '/buy/1', { method: 'POST', body: 'x' })).status).toBe(502)
})

it('sends a request that an upstream states it did not run to another upstream, even if it is not idempotent', async () => {
  const shed: Upstream = (_request, response) => response.writeHead(503, { 'x-not-run': '1' }).end()
  const runs: string[] = []
  const counting: Upstream = (request, response) => {
    runs.push(String(request.headers['x-id']))
    whole(request, response)
  }
  const origin = await start(shed, counting)
  for (const key of ['1', '2', '3', '4']) {
    const { status } = await call(origin, `/buy/${key}`, { method: 'POST', body: 'x' })
    expect(status).toBe(200)
  }
  expect(runs).toHaveLength(4)
})

it('does not retry a non-idempotent request whose connection was reset after it was sent, and does not report it as not run', async () => {
  let runs = 0
  const resetting: Upstream = ({ socket }) => {
    runs += 1
    socket.resetAndDestroy()
  }
  const { status, retryAfter } = await call(await start(resetting, resetting), '/buy/1', { method: 'POST', body: 'x' })
  expect({ status, runs, retryAfter }).toEqual({ status: 502, runs: 1, retryAfter: undefined })
})

it('forwards method, path, query, host and body unchanged, with the remaining time', async () => {
  const seen: unknown[] = []
  const recording: Upstream = (request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => chunks.push(chunk)).on('end', () => {
      seen.push(request.method, request.url, Buffer.concat(chunks).toString(), request.headers.host, Number(request.headers['x-deadline']) <= 1_500)
      whole(request, response)
    })
  }
  const { text } = await call(await start(recording), '/buy/1?a=%20b&c', { method: 'POST', body: 'bytes' })
  expect(text).toBe('whole')
  expect(seen).toEqual(['POST', '/buy/1?a=%20b&c', 'bytes', expect.any(String), true])
})

it('does not forward a request whose caller disconnected while the event loop was blocked, guarding against wasted work', async () => {
  const runs: string[] = []
  const recording: Upstream = (request, response) => {
    runs.push(String(request.headers['x-id']))
    whole(request, response)
  }
  const origin = await start(recording)
  // Leaves an idle connection to the upstream, on which the next request would be written immediately.
  await call(origin, '/read/1')
  const { hostname, port } = new URL(origin)
  const socket = connect({ host: hostname, port: Number(port) })
  await once(socket, 'connect')
  await new Promise(resolve => setTimeout(resolve, 50))
  socket.write('GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r-2\r\nx-object: 1\r\nx-deadline: 1000\r\n\r\n')
  socket.destroy()
  await new Promise(resolve => process.nextTick(resolve))
  const heldUpUntil = performance.now() + 30
  while (performance.now() < heldUpUntil);
  await new Promise(resolve => setTimeout(resolve, 200))
  expect(runs).toEqual(['r-1'])
})
