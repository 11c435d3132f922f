/**
 * Helpers of the stand-ins' HTTP servers: JSON bodies, a route table, listening and closing.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { once } from 'node:events'
import { json } from 'node:stream/consumers'

/** Handles one route of a control interface and returns the JSON body of its response. */
export type RouteHandler = (request: IncomingMessage, url: URL) => Promise<unknown> | unknown

/** Route handlers by `METHOD /path`. */
export type RouteTable = Readonly<Record<string, RouteHandler>>

/** Reads the whole body as JSON; a body of declared length 0 is `{}`. */
export async function readJson (request: IncomingMessage): Promise<any> {
  return request.headers['content-length'] === '0' ? {} : await json(request)
}

/** Sends a complete JSON response; without a body, its length is 0. */
export function sendJson (response: ServerResponse, status: number, body?: unknown): void {
  const text = body === undefined ? '' : JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
}

/** Responds to a request from a route table. Returns false, and sends nothing, if no route matches. */
export async function handleRoute (routes: RouteTable, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
  const url = new URL(request.url ?? '/', 'http://localhost')
  const handler = routes[`${request.method} ${url.pathname}`]
  if (handler === undefined) return false
  try {
    sendJson(response, 200, await handler(request, url) ?? {})
  } catch (error) {
    sendJson(response, 400, { error: String(error) })
  }
  return true
}

/** Listens on the loopback interface and returns `host:port`. Port 0 picks a free port. */
export async function listen (server: Server, port: number): Promise<string> {
  server.listen(port, '127.0.0.1')
  await once(server, 'listening')
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Closes the server and all its connections. */
export async function close (server: Server): Promise<void> {
  if (!server.listening) return
  server.close()
  server.closeAllConnections()
  await once(server, 'close')
}
