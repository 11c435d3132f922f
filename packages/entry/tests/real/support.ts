/**
 * Helpers for tests on loopback: start an entry instance on ephemeral ports, and upstreams made of `node:http` or raw TCP.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http'
import { createServer as createTcpServer } from 'node:net'
import type { AddressInfo, Server as TcpServer, Socket } from 'node:net'
import { EMPTY_CONFIGURATION } from '@arbutustray/core'
import type { Configuration, ListedInstance, Service } from '@arbutustray/core'
import { onTestFinished } from 'vitest'
import { startEntryInstance } from '../../src/index.js'
import type { EntrySettings } from '@arbutustray/settings'
import type { EntryInstance } from '../../src/index.js'

export const SERVICE: Service = {
  id: 'token',
  slots: 9,
  connections: 100,
  deadlineMs: 10_000,
  maxBodyBytes: 64 * 1_024 * 1_024,
  refusalHeader: 'x-load-shed',
  coldStartMs: 0,
  routes: [
    { method: 'GET', prefix: '/', kind: 'repeatable', length: 'short' },
    { method: 'PUT', prefix: '/ledger', kind: 'plain', length: 'long' },
    { method: 'POST', prefix: '/', kind: 'plain', length: 'short' }
  ]
}

export const CONFIGURATION: Configuration = {
  ...EMPTY_CONFIGURATION,
  version: 7,
  regions: [{ id: 'zagreb' }],
  zones: [{ id: 'zagreb-1', region: 'zagreb', instances: 1 }],
  services: [SERVICE],
  places: [{ service: 'token', zone: 'zagreb-1' }],
  rules: [{ service: 'token', scope: 'zone', shiftCap: 0.2, longShare: 0.5 }]
}

export function createSettings (changes: Partial<EntrySettings> = {}): EntrySettings {
  return {
    instanceId: 'i1',
    zone: 'zagreb-1',
    callerAddress: '127.0.0.1:0',
    operatorAddress: '127.0.0.1:0',
    peerAddress: '127.0.0.1:0',
    platformUrl: 'http://127.0.0.1:9',
    peerToken: 'peer-token',
    operatorToken: 'operator-token',
    logLevel: 'error',
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 64 * 1_024 * 1_024,
      maxConnections: 1_000,
      maxQueuedRequests: 1_000,
      headersTimeoutMs: 1_000,
      idleTimeoutMs: 3_000
    },
    traces: { sampleShare: 0 },
    ...changes
  }
}

/** Answers as an upstream has to, with the `x-request-id` of the request. */
export function sendAnswer (request: IncomingMessage, response: ServerResponse, status: number, body: string, headers: Record<string, string> = {}): void {
  response.writeHead(status, { 'x-request-id': String(request.headers['x-request-id']), ...headers })
  response.end(body)
}

/** Starts an upstream without a load report, so that the listener only receives requests of callers. */
export async function startUpstream (listener: RequestListener): Promise<string> {
  const server = createServer((request, response) => {
    if (request.url === '/load') sendAnswer(request, response, 404, '')
    else listener(request, response)
  })
  onTestFinished(() => { server.close().closeAllConnections() })
  return await listen(server)
}

/** Starts an upstream on raw TCP, for answers that an HTTP library would not send. */
export async function startRawUpstream (onHead: (socket: Socket, head: string) => void): Promise<string> {
  const server = createTcpServer(socket => {
    socket.on('error', () => {})
    let head = ''
    socket.on('data', chunk => {
      head += String(chunk)
      if (head.includes('\r\n\r\n')) onHead(socket, head)
    })
  })
  onTestFinished(() => { server.close() })
  return await listen(server)
}

export async function listen (server: TcpServer): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

export function listedUpstream (address: string, id = 'u1'): ListedInstance {
  return { id, role: 'upstream', service: 'token', zone: 'zagreb-1', address, state: 'live' }
}

/** Starts an entry instance that serves `token` with these upstreams. */
export async function startConfiguredEntry (upstreams: readonly string[], changes: Partial<EntrySettings> = {}): Promise<EntryInstance> {
  const entry = await startEntryInstance(createSettings(changes))
  onTestFinished(async () => await entry.close())
  entry.emit({ type: 'configuration-received', configuration: CONFIGURATION, source: 'platform' })
  entry.emit({ type: 'list-received', entries: upstreams.map((address, index) => listedUpstream(address, `u${index + 1}`)) })
  return entry
}

export function url (entry: EntryInstance, path: string): string {
  return `http://${entry.addresses.caller}${path}`
}
