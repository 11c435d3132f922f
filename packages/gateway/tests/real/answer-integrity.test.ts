/**
 * Guards against answers that reach the wrong caller or look complete although they broke off. The upstream here writes
 * raw bytes: second copies of an answer on a kept connection, bytes after an answer, and answers that end early.
 */
import type { Socket } from 'node:net'
import type { TestGateway } from '../support.js'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { Agent, request } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

interface Received { readonly id: string, readonly socket: Socket, readonly connection: number }

/** Starts an upstream that parses requests without a body and calls `onRequest` for each. */
async function start (onRequest: (received: Received) => void): Promise<TestGateway> {
  let connections = 0
  const server = createServer(socket => {
    connections += 1
    const connection = connections
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      for (const [, id] of chunk.toString().matchAll(/x-id: (\S+)/g)) onRequest({ id, socket, connection })
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const gateway = await startTestGateway([upstreamEntry('u', `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`)])
  closing.push(gateway.stop, async () => server.close())
  return gateway
}

const answer = (id: string, body = `for ${id}`): string => `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\ncontent-length: ${body.length}\r\n\r\n${body}`

interface Reply { readonly status: number, readonly text: string }

async function call (origin: string, id: string, path = '/buy/1'): Promise<Reply> {
  const reply = await request(`${origin}${path}`, { method: path.startsWith('/buy') ? 'DELETE' : 'GET', headers: { host: 'shop.example', 'x-id': id, 'x-object': '1', 'x-deadline': '1500' } })
  return { status: reply.statusCode, text: await reply.body.text() }
}

const wait = async (ms: number): Promise<void> => await new Promise(resolve => setTimeout(resolve, ms))

/** The answer is the request's own one, or a failure. */
function expectOwnOrFailed ({ status, text }: Reply, id: string): void {
  if (status < 300) expect(text).toBe(`for ${id}`)
  else expect(status).toBe(502)
}

it('does not deliver a second copy that follows an answer at once', async () => {
  const { origin } = await start(({ id, socket }) => { socket.write(answer(id) + answer(id)) })
  for (const id of ['r-1', 'r-2', 'r-3', 'r-4']) expectOwnOrFailed(await call(origin, id), id)
})

it('does not deliver a second copy that arrives while the connection is idle', async () => {
  const { origin } = await start(({ id, socket }) => {
    socket.write(answer(id))
    setTimeout(() => socket.write(answer(id)), 40)
  })
  for (const id of ['r-1', 'r-2', 'r-3']) {
    expectOwnOrFailed(await call(origin, id), id)
    await wait(80)
  }
})

it('does not deliver a second copy that arrives late, when the connection is in use for the next request, nor the answer behind it', async () => {
  let previous: string | undefined
  const { origin } = await start(({ id, socket }) => {
    // The copy of the previous answer comes first, in the place of this request's answer.
    if (previous !== undefined) socket.write(answer(previous))
    previous = id
    setTimeout(() => socket.write(answer(id)), 20)
  })
  for (const id of ['r-1', 'r-2', 'r-3', 'r-4', 'r-5']) expectOwnOrFailed(await call(origin, id), id)
})

it('does not deliver a second copy without a request id, in the place of the next answer', async () => {
  const { origin } = await start(({ id, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-signature: s\r\ncontent-length: 4\r\n\r\ncopy${answer(id)}`)
  })
  expectOwnOrFailed(await call(origin, 'r-1'), 'r-1')
  expectOwnOrFailed(await call(origin, 'r-2'), 'r-2')
})

it('does not take a late copy of a refusal for the refusal of the next request, guarding against a promise that is not true', async () => {
  let previous: string | undefined
  const { origin } = await start(({ id, socket }) => {
    const refusal = (of: string): string => `HTTP/1.1 503 Busy\r\nx-id: ${of}\r\nx-not-run: full\r\ncontent-length: 0\r\n\r\n`
    if (previous !== undefined) socket.write(refusal(previous) + answer(id))
    else socket.write(refusal(id))
    previous = id
  })
  expect(await call(origin, 'r-1')).toMatchObject({ status: 503 })
  expectOwnOrFailed(await call(origin, 'r-2'), 'r-2')
})

it.each([
  ['a stated length', 'content-length: 100\r\n\r\nonly a part'],
  ['chunks', 'transfer-encoding: chunked\r\n\r\n5\r\nonly \r\n'],
  ['a chunk that is cut', 'transfer-encoding: chunked\r\n\r\n50\r\nonly a part']
])('answers 502 if an answer with %s ends early, guarding against a part that looks complete', async (_what, rest) => {
  const { origin } = await start(({ id, socket }) => { socket.end(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\n${rest}`) })
  expect(await call(origin, 'r-1')).toMatchObject({ status: 502 })
})

it.each(['end', 'resetAndDestroy'] as const)('breaks off a long answer at its caller if it breaks off at the upstream (%s), guarding against a part that looks complete', async how => {
  const { addresses } = await start(({ id, socket }) => {
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\ntransfer-encoding: chunked\r\n\r\n`)
    for (let part = 0; part < 40; part += 1) socket.write(`2710\r\n${'x'.repeat(10_000)}\r\n`)
    setTimeout(() => socket[how](), 100)
  })
  const [host, port] = addresses.caller.split(':')
  const caller = connect(Number(port), host)
  let received = ''
  caller.on('error', () => {})
  caller.on('data', (chunk: Buffer) => { received += chunk.toString('latin1') })
  caller.write('GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-deadline: 1500\r\n\r\n')
  await once(caller, 'close')
  expect(received.length).toBeGreaterThan(200_000)
  expect(received.endsWith('\r\n0\r\n\r\n')).toBe(false)
})

it('does not send a request whose time ran out while the process was paused, guarding against work for a caller that has given up', async () => {
  const runs: string[] = []
  const { origin, gateway } = await start(({ id, socket }) => {
    runs.push(id)
    socket.write(answer(id))
  })
  const agent = new Agent()
  const pending = request(`${origin}/buy/1`, { method: 'DELETE', dispatcher: agent, headers: { host: 'shop.example', 'x-id': 'late', 'x-object': '1', 'x-deadline': '600' } })
  // Blocks the event loop, as a pause of the process does, as soon as the connection to the upstream is being opened.
  while (gateway.steering.pending() === 0) await new Promise(resolve => setImmediate(resolve))
  const until = performance.now() + 900
  while (performance.now() < until);
  const reply = await pending
  await reply.body.dump()
  expect([503, 504]).toContain(reply.statusCode)
  expect(runs).toEqual([])
  await agent.close()
})
