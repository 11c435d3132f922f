/**
 * Server process of the benchmark: an upstream that answers immediately, so that the proxy in front of it determines
 * the figures.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { reportReady } from './child.js'

const BODY = Buffer.alloc(512, 'x')

const server = createServer((request, response) => {
  response.writeHead(200, {
    'content-type': 'text/plain', 'content-length': BODY.length, 'x-request-id': request.headers['x-request-id'] ?? ''
  })
  response.end(BODY)
})
server.keepAliveTimeout = 60_000
server.listen(0, '127.0.0.1', () => reportReady({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` }))
