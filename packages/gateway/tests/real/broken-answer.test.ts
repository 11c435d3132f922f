/**
 * Guards against a part of an answer without a length that reaches its caller as a complete success: a regular end of the
 * connection is the end of such an answer, so only a reset shows that it broke off.
 */
import type { Socket } from 'node:net'
import { createServer, connect } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

const ANSWER_BYTES = 600_000
const wait = async (ms: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, ms))

/** Starts a gateway in front of an upstream that sends a header without a length and then calls `send`. */
async function start (send: (socket: Socket) => Promise<void>): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      const id = /x-id: (\S+)/.exec(chunk.toString())?.[1]
      if (id === undefined) return
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\nconnection: close\r\n\r\n`)
      send(socket).catch(() => {})
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const gateway = await startTestGateway([upstreamEntry('u', `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`)])
  closing.push(gateway.stop, async () => server.close())
  return gateway.addresses.caller
}

interface Reply { readonly end: 'regular' | 'reset', readonly bytes: number, readonly head: string }

/** Sends a request and reads the answer to the end of the connection, pausing after each read. */
async function call (address: string, pauseMs = 0): Promise<Reply> {
  const [host, port] = address.split(':')
  const socket = connect(Number(port), host)
  socket.write('GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-object: 1\r\nx-deadline: 9000\r\n\r\n')
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    const finish = (end: Reply['end']): void => {
      const all = Buffer.concat(chunks)
      const headEnd = all.indexOf('\r\n\r\n') + 4
      resolve({ end, bytes: all.length - headEnd, head: all.toString('latin1', 0, headEnd).toLowerCase() })
    }
    socket.on('data', (chunk: Buffer) => {
      chunks.push(chunk)
      if (pauseMs === 0) return
      socket.pause()
      setTimeout(() => socket.resume(), pauseMs)
    })
    // libuv reports a reset that arrives with data as a regular end; then the connection has no remote address any more.
    socket.once('end', () => finish(socket.remoteAddress === undefined ? 'reset' : 'regular'))
    socket.once('error', () => finish('reset'))
  })
}

it.each([['one that keeps up', 0], ['a slow one', 20]])('resets the caller\'s connection if the upstream resets its own: %s', async (_name, pauseMs) => {
  const address = await start(async socket => {
    socket.write(Buffer.alloc(ANSWER_BYTES, 'a'))
    await wait(pauseMs === 0 ? 100 : 200)
    socket.resetAndDestroy()
  })
  expect(await call(address, pauseMs)).toMatchObject({ end: 'reset' })
})

it('resets the caller\'s connection if the answer is not complete at the request\'s time', async () => {
  const address = await start(async socket => { socket.write(Buffer.alloc(ANSWER_BYTES / 2, 'a')) })
  expect(await call(address)).toMatchObject({ end: 'reset' })
})

it.each([['one that keeps up', 0], ['a slow one', 20]])('ends a complete answer as its upstream did, without a length: %s', async (_name, pauseMs) => {
  const address = await start(async socket => { socket.end(Buffer.alloc(ANSWER_BYTES, 'a')) })
  const { end, bytes, head } = await call(address, pauseMs)
  expect({ end, bytes }).toEqual({ end: 'regular', bytes: ANSWER_BYTES })
  expect(head).not.toMatch(/content-length|transfer-encoding/)
})

it('never ends an answer without an end regularly, guarding against a regular end that precedes the reset', async () => {
  const part = Buffer.alloc(65_536, 'a')
  const address = await start(async socket => {
    const send = (): void => {
      let mayWriteMore = true
      while (mayWriteMore && socket.writable) mayWriteMore = socket.write(part)
      socket.once('drain', send)
    }
    send()
  })
  const replies = await Promise.all(Array.from({ length: 30 }, async (_, index) => await call(address, index % 2 === 0 ? 0 : 5)))
  const parts = replies.filter(({ head }) => head.startsWith('http/1.1 200'))
  expect(parts.length).toBeGreaterThan(5)
  expect(parts.filter(({ end }) => end === 'regular')).toEqual([])
})
