/**
 * Creates Node HTTP servers whose limits and time-outs keep slow, malformed and oversized requests from affecting other
 * requests.
 */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Telemetry } from '@arbutustray/telemetry'
import { formatAddress, parseAddress } from '@arbutustray/http'
import { countRejection } from './reject.js'
import type { Rejection } from './reject.js'

export interface HttpLimits {
  readonly maxHeaderBytes: number
  readonly maxConnections: number
  /** Time in which the headers of a request must arrive completely, in milliseconds. */
  readonly headersTimeoutMs: number
  /** Time without traffic after which a connection is closed unless it waits for this instance, in milliseconds. */
  readonly idleTimeoutMs: number
}

export interface HttpServerOptions {
  readonly limits: HttpLimits
  readonly telemetry: Telemetry
}

export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => void

export interface HttpServer {
  /** Sets the handler. The connections of requests that arrive earlier are closed without an answer. */
  readonly serve: (handler: RequestHandler) => void
  /** Starts to listen and returns the address with the actual port. */
  readonly listen: (address: string) => Promise<string>
  /** Refuses new connections and waits for the live exchanges, or aborts them if `force` is set. */
  readonly close: (force: boolean) => Promise<void>
}

/** How often Node checks `headersTimeout`, in milliseconds. Its default of 30 s would let slow clients stay longer. */
const TIMEOUT_CHECK_PERIOD_MS = 1_000

const REJECTION_BY_ERROR_CODE: Readonly<Record<string, Rejection>> = {
  HPE_HEADER_OVERFLOW: { status: 431, reason: 'request-too-large' },
  ERR_HTTP_REQUEST_TIMEOUT: { status: 408, reason: 'deadline-passed' }
}

const MALFORMED_REQUEST: Rejection = { status: 400, reason: 'request-malformed' }

const STATUS_TEXTS: Readonly<Record<number, string>> = {
  400: 'Bad Request', 408: 'Request Timeout', 431: 'Request Header Fields Too Large'
}

/** Creates a server that does not listen yet. */
export function createHttpServer (options: HttpServerOptions): HttpServer {
  const { limits, telemetry } = options
  const latestResponses = new WeakMap<Socket, ServerResponse>()

  let handler: RequestHandler = request => request.destroy()
  const handle: RequestHandler = (request, response) => {
    latestResponses.set(request.socket, response)
    // Node emits an error for writes after the caller has disconnected. Without a listener it would end the process.
    response.on('error', ignoreError)
    handler(request, response)
  }
  const server = createServer({
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    // Uploads may take longer than any fixed time. The idle time-out ends those that make no progress.
    requestTimeout: 0,
    connectionsCheckingInterval: TIMEOUT_CHECK_PERIOD_MS,
    keepAliveTimeout: limits.idleTimeoutMs
  }, handle)
  server.maxConnections = limits.maxConnections
  server.timeout = limits.idleTimeoutMs
  server.on('timeout', socket => { if (!isAwaitingAnswer(latestResponses.get(socket))) socket.destroy() })
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => rejectUnparsed(error, socket, telemetry))

  return {
    serve: value => { handler = value },
    listen: async address => await listen(server, address),
    close: async force => await new Promise(resolve => {
      server.close(() => resolve())
      server.closeIdleConnections()
      if (force) server.closeAllConnections()
    })
  }
}

function ignoreError (): void {}

/** Whether the caller waits for this instance: it has read all that was written and owes no part of its request. */
function isAwaitingAnswer (response: ServerResponse | undefined): boolean {
  if (response === undefined || response.writableEnded || response.writableLength > 0) return false
  return response.req.complete || response.req.readableFlowing !== true
}

function rejectUnparsed (error: NodeJS.ErrnoException, socket: Duplex, telemetry: Telemetry): void {
  if (error.code === 'ECONNRESET' || !socket.writable) {
    socket.destroy()
    return
  }
  const rejection = REJECTION_BY_ERROR_CODE[error.code ?? ''] ?? MALFORMED_REQUEST
  countRejection(rejection, telemetry)
  socket.end(`HTTP/1.1 ${rejection.status} ${STATUS_TEXTS[rejection.status]}\r\nconnection: close\r\n` +
    `arbutustray-outcome: not-run\r\narbutustray-reason: ${rejection.reason}\r\ncontent-length: 0\r\n\r\n`)
}

async function listen (server: Server, address: string): Promise<string> {
  const { host, port } = parseAddress(address)
  return await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => {
      server.off('error', reject)
      resolve(formatAddress({ host, port: (server.address() as AddressInfo).port }))
    })
  })
}
