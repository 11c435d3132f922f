/**
 * Guards against one malformed message that ends the whole process, takes an upstream out of use or leaves a request
 * without an answer. Callers, clients of the directory, peers and upstreams send bytes that are valid HTTP but not what
 * the gateway expects.
 */
import type { Socket } from 'node:net'
import type { TestGateway } from '../support.js'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { request } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { listen, startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

/** Sends bytes on a new connection and returns what comes back until the connection ends or half a second passes. */
async function exchange (address: string, bytes: string): Promise<string> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  let received = ''
  socket.on('data', (chunk: Buffer) => { received += chunk.toString('latin1') })
  socket.write(bytes, 'latin1')
  await Promise.race([once(socket, 'close'), new Promise(resolve => setTimeout(resolve, 500))])
  socket.destroy()
  return received
}

async function startWithUpstream (onConnection: (socket: Socket) => void): Promise<TestGateway> {
  const server = createServer(onConnection)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const gateway = await startTestGateway([upstreamEntry('u', `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`)])
  closing.push(gateway.stop, async () => server.close())
  return gateway
}

/** Writes a piece again and again, as fast as it is read, until the connection closes. */
function pour (socket: Socket, piece: string, onSent: (bytes: number) => void): void {
  if (socket.destroyed) return
  onSent(piece.length)
  socket.write(piece, () => setImmediate(() => pour(socket, piece, onSent)))
}

async function read (origin: string): Promise<{ readonly status: number, readonly text: string }> {
  const reply = await request(`${origin}/read/1`, { headers: { host: 'shop.example', 'x-id': 'r-1', 'x-object': '1', 'x-deadline': '1500' } })
  return { status: reply.statusCode, text: await reply.body.text() }
}

it.each(['ready', 'directory', 'metrics', 'peer'] as const)('rejects a request target that is no path on the %s port, guarding against an exception that ends the process', async port => {
  const { server, address } = await listen((_request, response) => response.end())
  closing.push(async () => server.close())
  const { addresses, stop } = await startTestGateway([upstreamEntry('u', address)])
  closing.push(stop)
  for (const target of ['//', 'http://[', '*']) {
    expect(await exchange(addresses[port], `GET ${target} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n`)).toMatch(/^HTTP\/1\.1 40[04] /)
  }
})

it.each(['%7Bnot', '%22text%22', 'null', '%5B5,1,1,1%5D'])('rejects a poll whose sender can\'t be read (%s), guarding against an exception that ends the process', async sender => {
  const { server, address } = await listen((_request, response) => response.end())
  closing.push(async () => server.close())
  const { addresses, stop } = await startTestGateway([upstreamEntry('u', address)])
  closing.push(stop)
  expect(await exchange(addresses.peer, `GET /state?sender=${sender} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n`)).toMatch(/^HTTP\/1\.1 400 /)
})

it('forwards an answer with a header beyond ASCII, guarding against a request that is never answered', async () => {
  const gateway = await startWithUpstream(socket => {
    socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-signature: s\r\nx-note: \u20ac\r\ncontent-length: 2\r\n\r\nok'))
  })
  expect(await read(gateway.origin)).toEqual({ status: 200, text: 'ok' })
})

it('keeps an upstream in use after a request that can\'t be forwarded, guarding against one caller that takes all upstreams out of use', async () => {
  const gateway = await startWithUpstream(socket => {
    socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok'))
  })
  const address = gateway.addresses.caller
  const headers = 'x-id: r-1\r\nx-deadline: 1500\r\nconnection: close\r\n'
  expect(await exchange(address, `GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nhost: other.example\r\n${headers}\r\n`)).toMatch(/^HTTP\/1\.1 (400|200) /)
  expect(await exchange(address, `GET /read/\xff HTTP/1.1\r\nhost: shop.example\r\n${headers}\r\n`)).toMatch(/^HTTP\/1\.1 (400|200) /)
  expect([...gateway.gateway.steering.upstreams()].filter(({ suspectSince }) => suspectSince !== undefined)).toEqual([])
  expect(await read(gateway.origin)).toEqual({ status: 200, text: 'ok' })
})

it('ends an attempt whose answer is an endless head, guarding against memory that grows until the process ends', async () => {
  let sent = 0
  const gateway = await startWithUpstream(socket => {
    socket.on('error', () => {})
    socket.on('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-signature: s\r\n')
      pour(socket, `x-more: ${'x'.repeat(10_000)}\r\n`, bytes => { sent += bytes })
    })
  })
  expect(await read(gateway.origin)).toMatchObject({ status: 502 })
  expect(sent).toBeLessThan(5_000_000)
})

it.each([
  ['bytes that are no answer', '\x16\x03\x01'],
  ['an answer of another request', 'HTTP/1.1 200 OK\r\nx-id: other\r\nx-signature: s\r\n\r\n'],
  ['an answer without a signature', 'HTTP/1.1 200 OK\r\nx-id: r-1\r\n\r\n'],
  ['a refusal', 'HTTP/1.1 503 Busy\r\nx-id: r-1\r\nx-not-run: full\r\n\r\n'],
  ['interim answers', 'HTTP/1.1 102 Processing\r\n\r\n']
])('ends an attempt that is answered by %s without end, guarding against a connection that is read until its caller gives up', async (_what, head) => {
  let sent = 0
  let isClosed = false
  const gateway = await startWithUpstream(socket => {
    socket.on('error', () => {})
    socket.on('close', () => { isClosed = true })
    socket.once('data', () => {
      socket.write(head, 'latin1')
      const filler = head.includes('102') ? head : 'x'.repeat(10_000)
      pour(socket, filler, bytes => { sent += bytes })
    })
  })
  const { status } = await read(gateway.origin)
  expect([502, 503, 504]).toContain(status)
  await new Promise(resolve => setTimeout(resolve, 100))
  expect(isClosed).toBe(true)
  expect(sent).toBeLessThan(50_000_000)
})

it('passes an endless body on only as fast as its caller reads, and ends it with the request\'s time, guarding against memory that grows without bound', async () => {
  let sent = 0
  let isClosed = false
  const gateway = await startWithUpstream(socket => {
    socket.on('error', () => {})
    socket.on('close', () => { isClosed = true })
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n')
      pour(socket, `2710\r\n${'x'.repeat(10_000)}\r\n`, bytes => { sent += bytes })
    })
  })
  const [host, port] = gateway.addresses.caller.split(':')
  const caller = connect(Number(port), host)
  caller.on('error', () => {})
  caller.write('GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-deadline: 1000\r\n\r\n')
  // The caller does not read.
  await new Promise(resolve => setTimeout(resolve, 1_500))
  expect(sent).toBeLessThan(30_000_000)
  caller.destroy()
  await new Promise(resolve => setTimeout(resolve, 300))
  expect(isClosed).toBe(true)
})
