/**
 * HTTP stand-in of an upstream, for tests and the demo. It has a limited number of slots and connections and random
 * service times, refuses requests before it runs them, drains, honours cancellation and deadlines, and reports its load
 * with a lag. It runs a request to any path and responds with the length and SHA-256 of the request's body. `GET /load`
 * returns the load report and `GET /runs` the run log.
 *
 * Request headers select a behaviour: `x-service-ms` sets the service time; `x-fault` is `swap` (respond with another
 * request's id), `truncate` (close the connection within the response body), `stall` (stop sending within the response
 * body) or `reset` (run, then close the connection without a response).
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Run } from './run-log.js'
import type { UpstreamOptions, UpstreamSpec } from './upstream-options.js'
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { close, listen, sendJson } from '../http-server.js'
import { createRunLog } from './run-log.js'
import { createServiceTimeSampler } from './service-time-sampler.js'
import { UPSTREAM_DEFAULTS } from './upstream-options.js'

/** A running upstream stand-in. */
export interface UpstreamStandin {
  readonly options: UpstreamOptions
  readonly address: string
  readonly runs: () => readonly Run[]
  /** Starts a drain: responses announce that the upstream leaves, and new requests are refused after `refuseAfterMs`. */
  readonly drain: (refuseAfterMs?: number) => void
  /** Multiplies the service times of requests that start within the next `durationMs`. */
  readonly slowDown: (factor: number, durationMs: number) => void
  readonly close: () => Promise<void>
}

const DEFAULT_REFUSE_AFTER_MS = 2_000
const KEEP_ALIVE_TIMEOUT_MS = 60_000

type FaultResponder = (response: ServerResponse, headers: Record<string, string>, body: string) => void

const FAULT_RESPONDERS: Readonly<Record<string, FaultResponder>> = {
  none: (response, headers, body) => response.writeHead(200, headers).end(body),
  swap: (response, headers, body) => response.writeHead(200, { ...headers, 'x-request-id': 'another-request' }).end(body),
  truncate: (response, headers, body) => {
    response.writeHead(200, headers).write(body.slice(0, 10), () => response.destroy())
  },
  stall: (response, headers, body) => { response.writeHead(200, headers).write(body.slice(0, 10)) },
  reset: response => response.destroy()
}

function readHeader (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

async function digestBody (request: IncomingMessage): Promise<{ readonly bytes: number, readonly sha256: string }> {
  const hash = createHash('sha256')
  let bytes = 0
  for await (const chunk of request) {
    hash.update(chunk)
    bytes += chunk.length
  }
  return { bytes, sha256: hash.digest('hex') }
}

/** Starts an upstream on a loopback port. */
export async function startUpstream (spec: UpstreamSpec): Promise<UpstreamStandin> {
  const options: UpstreamOptions = { ...UPSTREAM_DEFAULTS, ...spec }
  const serviceTimeSampler = createServiceTimeSampler(options)
  const runLog = createRunLog()
  let active = 0
  let drainingSince: number | undefined
  let refuseAfterMs = DEFAULT_REFUSE_AFTER_MS
  let load = { active: 0, queued: 0, at: Date.now() }

  const loadReportTimer = setInterval(() => {
    load = { active, queued: 0, at: Date.now() }
  }, options.loadLagMs).unref()

  function mustRefuse (): boolean {
    const refusesForDrain = drainingSince !== undefined && performance.now() - drainingSince >= refuseAfterMs
    return refusesForDrain || active >= options.slots
  }

  function baseHeaders (request: IncomingMessage): Record<string, string> {
    return {
      'x-request-id': readHeader(request, 'x-request-id') ?? '',
      'x-upstream': options.id,
      ...(drainingSince === undefined ? {} : { 'arbutustray-leaving': '1' })
    }
  }

  function sendAnswer (request: IncomingMessage, response: ServerResponse, run: { readonly bytes: number, readonly sha256: string }): void {
    const body = JSON.stringify({ upstream: options.id, bytes: run.bytes, sha256: run.sha256 })
    const headers = { ...baseHeaders(request), 'content-type': 'application/json', 'content-length': `${body.length}` }
    const fault = FAULT_RESPONDERS[readHeader(request, 'x-fault') ?? 'none'] ?? FAULT_RESPONDERS.none
    fault?.(response, headers, body)
  }

  /** Runs the request for its service time, or until the caller closes the connection or the deadline passes. */
  async function run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const deadlineAt = performance.now() + Number(readHeader(request, 'arbutustray-timeout-ms') ?? Infinity)
    const bodyDigest = await digestBody(request)
    const key = readHeader(request, 'idempotency-key')
    const recordEnd = runLog.start({
      upstream: options.id,
      requestId: readHeader(request, 'x-request-id') ?? '',
      ...(key === undefined ? {} : { key }),
      method: request.method ?? '',
      path: request.url ?? '',
      ...bodyDigest
    })
    const serviceMs = Number(readHeader(request, 'x-service-ms') ?? serviceTimeSampler.sample(bodyDigest.bytes))
    const remainingMs = deadlineAt - performance.now()
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => {
        recordEnd(serviceMs <= remainingMs ? 'served' : 'deadline')
        if (serviceMs <= remainingMs) sendAnswer(request, response, bodyDigest)
        else response.writeHead(504, baseHeaders(request)).end()
        resolve()
      }, Math.max(0, Math.min(serviceMs, remainingMs)))
      response.once('close', () => {
        clearTimeout(timer)
        recordEnd('cancelled')
        resolve()
      })
    })
  }

  async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'GET' && request.url === '/load') return sendJson(response, 200, load)
    if (request.method === 'GET' && request.url === '/runs') return sendJson(response, 200, runLog.runs())
    if (mustRefuse()) {
      response.writeHead(503, { ...baseHeaders(request), 'x-load-shed': '1', 'content-length': '0' }).end()
      return
    }
    active += 1
    try {
      await run(request, response)
    } finally {
      active -= 1
    }
  }

  const server = createServer((request, response) => {
    // A request whose body ends early is not run, because its caller has closed the connection.
    serve(request, response).catch(() => response.destroy())
  })
  server.maxConnections = options.connections
  // Longer than the idle timeout of clients, so that no client writes to a connection that is being closed.
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
  const address = await listen(server, options.port)
  return {
    options,
    address,
    runs: runLog.runs,
    slowDown: serviceTimeSampler.slowDown,
    drain: (afterMs = DEFAULT_REFUSE_AFTER_MS) => {
      drainingSince ??= performance.now()
      refuseAfterMs = afterMs
    },
    close: async () => {
      clearInterval(loadReportTimer)
      await close(server)
    }
  }
}
