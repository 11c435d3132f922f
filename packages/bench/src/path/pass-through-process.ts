/**
 * Server process of the benchmark: the bare pass-through proxy that an entry instance is compared with. Node `http`
 * accepts requests and an `undici` pool sends them on, without checks or routing.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'
import { reportReady } from './child.js'

const pool = new Pool(`http://${process.argv[2]}`)

const server = createServer((request, response) => {
  pool.dispatch({
    path: request.url ?? '/',
    method: 'GET',
    headers: { 'x-request-id': request.headers['x-request-id'] }
  }, {
    onRequestStart: () => {},
    onResponseStart: (_controller, status, headers) => {
      delete headers.connection
      delete headers['keep-alive']
      response.writeHead(status, headers)
    },
    onResponseData: (controller, chunk) => {
      if (response.write(chunk)) return
      controller.pause()
      response.once('drain', () => controller.resume())
    },
    onResponseEnd: () => { response.end() },
    onResponseError: () => { response.destroy() }
  })
})
server.keepAliveTimeout = 60_000
server.listen(0, '127.0.0.1', () => reportReady({ address: `127.0.0.1:${(server.address() as AddressInfo).port}` }))
