/**
 * Guards against an answer that stops, or goes on, beyond its route's timeout while it is streamed: its caller would wait
 * until its own deadline, or for ever if it states none.
 */
import type { ServerResponse } from 'node:http'
import { once } from 'node:events'
import { connect } from 'node:net'
import { afterEach, expect, it } from 'vitest'
import { DEPLOYMENT, listen, startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

const TIMEOUT_MS = DEPLOYMENT.routes[0].timeoutMs
const SLACK_MS = 500
const PART_BYTES = 400_000

const ANSWERS: { readonly [name: string]: (response: ServerResponse) => void } = {
  'stops after a part': response => { response.write(Buffer.alloc(PART_BYTES)) },
  'does not end': response => {
    response.write(Buffer.alloc(PART_BYTES))
    const timer = setInterval(() => response.write('more'), 50)
    response.once('close', () => clearInterval(timer))
  }
}

it.each(Object.keys(ANSWERS).flatMap(name => [['', name], ['x-deadline: 9000\r\n', name]]))('ends an answer at its route\'s timeout (deadline header %j) that %s', async (deadline, name) => {
  const { server, address } = await listen((request, response) => {
    response.writeHead(200, { 'x-id': String(request.headers['x-id']), 'x-signature': 's', 'content-length': 600_000 })
    ANSWERS[name](response)
  })
  closing.push(async () => {
    server.closeAllConnections()
    server.close()
  })
  const gateway = await startTestGateway([upstreamEntry('u', address)])
  closing.push(gateway.stop)
  const [host, port] = gateway.addresses.caller.split(':')
  const socket = connect(Number(port), host).on('error', () => {})
  let bytes = 0
  socket.on('data', (chunk: Buffer) => { bytes += chunk.length })
  const sentAt = performance.now()
  socket.write(`GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-object: 1\r\n${deadline}\r\n`)
  const giveUp = setTimeout(() => socket.destroy(), TIMEOUT_MS + 2_000)
  await once(socket, 'close')
  clearTimeout(giveUp)
  expect(bytes).toBeGreaterThan(PART_BYTES)
  expect(performance.now() - sentAt).toBeLessThan(TIMEOUT_MS + SLACK_MS)
  expect(performance.now() - sentAt).toBeGreaterThan(TIMEOUT_MS - SLACK_MS)
})
