/**
 * Guards against a part of an answer without a length that counts as complete because the reset of its connection arrives
 * together with data: libuv then reports a regular end.
 */
import { createServer } from 'node:net'
import { request } from 'undici'
import { afterEach, expect, it } from 'vitest'
import { setAbortiveClose } from '../../src/abortive-close.js'
import { startTestGateway, upstreamEntry } from '../support.js'

const closing: Array<() => Promise<unknown>> = []

afterEach(async () => {
  await Promise.all(closing.splice(0).map(async close => await close()))
})

/** Sends the header and a part of an answer without a length and ends the connection at once. */
async function callUpstream (end: 'reset' | 'regular'): Promise<{ readonly status: number, readonly text: string }> {
  const server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', (chunk: Buffer) => {
      const id = /x-id: (\S+)/.exec(chunk.toString())?.[1]
      if (id === undefined) return
      const part = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-signature: s\r\nconnection: close\r\n\r\npart`
      if (end === 'regular') {
        socket.end(part)
        return
      }
      setAbortiveClose(socket, true)
      socket.write(part)
      socket.destroy()
    })
  })
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  const address = server.address()
  const gateway = await startTestGateway([upstreamEntry('u', `127.0.0.1:${typeof address === 'object' ? address?.port : ''}`)])
  closing.push(gateway.stop, async () => server.close())
  const { statusCode, body } = await request(`${gateway.origin}/buy/1`, { method: 'POST', body: 'x', headers: { host: 'shop.example', 'x-id': 'r-1', 'x-object': '1', 'x-deadline': '1500' } })
  return { status: statusCode, text: await body.text() }
}

it('answers 502 if the reset arrives with the data', async () => {
  for (let round = 0; round < 5; round += 1) expect(await callUpstream('reset')).toEqual({ status: 502, text: '' })
})

it('relays the answer if the connection ends regularly', async () => {
  for (let round = 0; round < 5; round += 1) expect(await callUpstream('regular')).toEqual({ status: 200, text: 'part' })
})
