/**
 * Guards against answers that exhaust the process's memory and end it with the requests of all callers. The upstream here
 * writes raw bytes.
 */
import type { Socket } from 'node:net'
import { createServer } from 'node:net'
import { request } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

const BYTES_PER_MB = 1_048_576
const wait = async (ms: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, ms))

/** Starts a gateway in front of an upstream that calls `answer` for each request. Returns its origin. */
async function start (answer: (socket: Socket, id: string) => void): Promise<string> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      const id = /x-id: (\S+)/.exec(chunk.toString())?.[1]
      if (id !== undefined) answer(socket, id)
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const port = typeof address === 'object' ? address?.port : ''
  const gateway = await startTestGateway(Array.from({ length: 4 }, (_, index) => upstreamEntry(`u${index}`, `127.0.0.1:${port}`)))
  closing.push(gateway.stop, async () => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return gateway.origin
}

async function call (origin: string, id: string): Promise<{ readonly status: number, readonly bytes: number }> {
  const { statusCode, body } = await request(`${origin}/read/${id}`, { headers: { host: 'shop.example', 'x-id': id, 'x-object': id, 'x-deadline': '15000' } })
  return { status: statusCode, bytes: (await body.arrayBuffer()).byteLength }
}

const head = (id: string, status = 200): string => `HTTP/1.1 ${status} X\r\nx-id: ${id}\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n`

it('needs little more memory than the body of an answer in small pieces, guarding against a heap that is exhausted by one object for each piece', async () => {
  const answers = 8
  const bytes = 250_000
  const pieces = Buffer.from('1\r\nx\r\n'.repeat(bytes))
  const open: Socket[] = []
  const origin = await start((socket, id) => {
    open.push(socket)
    socket.write(head(id))
    socket.write(pieces)
  })
  const usedBefore = process.memoryUsage().heapUsed
  const calls = Array.from({ length: answers }, async (_, index) => await call(origin, `r-${index}`).catch(() => undefined))
  await wait(1_500)
  const samples: number[] = []
  for (let sample = 0; sample < 10; sample += 1) {
    await wait(20)
    samples.push(process.memoryUsage().heapUsed - usedBefore)
  }
  expect(open.length).toBeGreaterThanOrEqual(answers)
  expect(Math.min(...samples) / BYTES_PER_MB).toBeLessThan(64)
  for (const socket of open) socket.end('0\r\n\r\n')
  await Promise.all(calls)
})

/** Sends the part of an answer that exceeds the buffer and leaves it without an end. */
function sendEndless (socket: Socket, id: string, status: number): void {
  socket.write(head(id, status))
  for (let part = 0; part < 8; part += 1) socket.write(`10000\r\n${'?'.repeat(65_536)}\r\n`)
}

async function closed (socket: Socket): Promise<boolean> {
  return await Promise.race([new Promise<boolean>(resolve => socket.once('close', () => resolve(true))), wait(1_500).then(() => false)])
}

it('closes a failed answer without an end when the request goes to another upstream, guarding against answers that stay in memory', async () => {
  const failed: Array<Promise<boolean>> = []
  const origin = await start((socket, id) => {
    if (failed.length > 0) {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok`)
      return
    }
    failed.push(closed(socket))
    sendEndless(socket, id, 500)
  })
  expect(await call(origin, 'r-1')).toEqual({ status: 200, bytes: 2 })
  expect(await Promise.all(failed)).toEqual([true])
})

it('closes an answer without an end to a non-idempotent request whose caller has left, guarding against answers that stay in memory', async () => {
  const left = new AbortController()
  let isClosed: Promise<boolean> | undefined
  const origin = await start((socket, id) => {
    isClosed = closed(socket)
    left.abort()
    setTimeout(() => sendEndless(socket, id, 200), 100)
  })
  await expect(request(`${origin}/buy/1`, { method: 'POST', body: 'x', signal: left.signal, headers: { host: 'shop.example', 'x-id': 'r-1', 'x-object': '1', 'x-deadline': '15000' } })).rejects.toThrow()
  expect(await isClosed).toBe(true)
})

it('relays a large failed answer if the request can\'t be sent again, guarding against a caller that loses the upstream\'s own answer', async () => {
  const bytes = 400_000
  const origin = await start((socket, id) => { socket.write(`HTTP/1.1 500 X\r\nx-id: ${id}\r\nx-signature: s\r\ncontent-length: ${bytes}\r\n\r\n${'?'.repeat(bytes)}`) })
  expect(await call(origin, 'r-1')).toEqual({ status: 500, bytes })
})

it('breaks off interim answers without an end at once, guarding against a process that only reads them until the request\'s time', async () => {
  const interim = Buffer.from('HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(1_000))
  const durations: Array<Promise<number>> = []
  const origin = await start(socket => {
    const startedAt = performance.now()
    durations.push(closed(socket).then(() => performance.now() - startedAt))
    const send = (): void => {
      let mayWriteMore = true
      while (mayWriteMore && socket.writable) mayWriteMore = socket.write(interim)
      socket.once('drain', send)
    }
    send()
  })
  expect(await call(origin, 'r-1')).toEqual({ status: 502, bytes: 0 })
  expect((await Promise.all(durations)).filter(ms => ms > 500)).toEqual([])
})

it('relays an answer after a few interim ones', async () => {
  const origin = await start((socket, id) => {
    socket.write(`${'HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n'.repeat(4)}HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\ncontent-length: 2\r\n\r\nok`)
  })
  expect(await call(origin, 'r-1')).toEqual({ status: 200, bytes: 2 })
})
