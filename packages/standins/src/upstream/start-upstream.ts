/**
 * Stand-in of an upstream: slots, a connection limit, random service times, refusal before running, draining,
 * cancellation, deadlines and a lagging load report. Any path is a request; its answer states length and SHA-256 of
 * the body that was read. `GET /load` and `GET /runs` are reserved.
 *
 * Tests select a behaviour by request header: `x-service-ms` sets the service time; `x-fault` is `swap` (answer with
 * another request's id), `truncate` (end within the answer), `stall` (stop
 * within the answer) or `reset` (run, then close without an answer).
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Run } from './run-log.js'
import type { UpstreamOptions, UpstreamSpec } from './upstream-options.js'
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'
import { close, listen, sendJson } from '../http-server.js'
import { createRunLog } from './run-log.js'
import { createServiceTime } from './service-time.js'
import { UPSTREAM_DEFAULTS } from './upstream-options.js'

/** A running upstream stand-in. */
export interface UpstreamStandin {
  readonly options: UpstreamOptions
  readonly address: string
  readonly runs: () => readonly Run[]
  /** Marks every answer as leaving, and refuses new requests after `refuseAfterMs`. */
  readonly drain: (refuseAfterMs?: number) => void
  /** Multiplies service times for a while. */
  readonly slowDown: (factor: number, durationMs: number) => void
  readonly close: () => Promise<void>
}

const REFUSE_AFTER_MS = 2_000
const KEEP_ALIVE_MS = 60_000

type Fault = (response: ServerResponse, headers: Record<string, string>, body: string) => void

const FAULTS: Readonly<Record<string, Fault>> = {
  none: (response, headers, body) => response.writeHead(200, headers).end(body),
  swap: (response, headers, body) => response.writeHead(200, { ...headers, 'x-request-id': 'another-request' }).end(body),
  truncate: (response, headers, body) => {
    response.writeHead(200, headers).write(body.slice(0, 10), () => response.destroy())
  },
  stall: (response, headers, body) => { response.writeHead(200, headers).write(body.slice(0, 10)) },
  reset: response => response.destroy()
}

function header (request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name]
  return Array.isArray(value) ? value[0] : value
}

async function digest (request: IncomingMessage): Promise<{ readonly bytes: number, readonly sha256: string }> {
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
  const serviceTime = createServiceTime(options)
  const log = createRunLog()
  let active = 0
  let drainingSince: number | undefined
  let refuseAfterMs = REFUSE_AFTER_MS
  let load = { active: 0, queued: 0, at: Date.now() }

  const report = setInterval(() => {
    load = { active, queued: 0, at: Date.now() }
  }, options.loadLagMs).unref()

  function refuses (): boolean {
    const refusing = drainingSince !== undefined && performance.now() - drainingSince >= refuseAfterMs
    return refusing || active >= options.slots
  }

  function baseHeaders (request: IncomingMessage): Record<string, string> {
    return {
      'x-request-id': header(request, 'x-request-id') ?? '',
      'x-upstream': options.id,
      ...(drainingSince === undefined ? {} : { 'arbutustray-leaving': '1' })
    }
  }

  function answer (request: IncomingMessage, response: ServerResponse, run: { readonly bytes: number, readonly sha256: string }): void {
    const body = JSON.stringify({ upstream: options.id, bytes: run.bytes, sha256: run.sha256 })
    const headers = { ...baseHeaders(request), 'content-type': 'application/json', 'content-length': `${body.length}` }
    const fault = FAULTS[header(request, 'x-fault') ?? 'none'] ?? FAULTS.none
    fault?.(response, headers, body)
  }

  /** Runs the request for its service time unless the caller leaves or the deadline passes. */
  async function run (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const deadlineAt = performance.now() + Number(header(request, 'arbutustray-timeout-ms') ?? Infinity)
    const read = await digest(request)
    const key = header(request, 'idempotency-key')
    const record = log.start({
      upstream: options.id,
      requestId: header(request, 'x-request-id') ?? '',
      ...(key === undefined ? {} : { key }),
      method: request.method ?? '',
      path: request.url ?? '',
      ...read
    })
    const serviceMs = Number(header(request, 'x-service-ms') ?? serviceTime.draw(read.bytes))
    const leftMs = deadlineAt - performance.now()
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => {
        record(serviceMs <= leftMs ? 'served' : 'deadline')
        if (serviceMs <= leftMs) answer(request, response, read)
        else response.writeHead(504, baseHeaders(request)).end()
        resolve()
      }, Math.max(0, Math.min(serviceMs, leftMs)))
      response.once('close', () => {
        clearTimeout(timer)
        record('cancelled')
        resolve()
      })
    })
  }

  async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (request.method === 'GET' && request.url === '/load') return sendJson(response, 200, load)
    if (request.method === 'GET' && request.url === '/runs') return sendJson(response, 200, log.runs())
    if (refuses()) {
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
    // A body that ends early is not run; the caller has closed the connection.
    serve(request, response).catch(() => response.destroy())
  })
  server.maxConnections = options.connections
  // Longer than the idle time of clients, so that no client writes to a connection that is being closed.
  server.keepAliveTimeout = KEEP_ALIVE_MS
  const address = await listen(server, options.port)
  return {
    options,
    address,
    runs: log.runs,
    slowDown: serviceTime.slowDown,
    drain: (afterMs = REFUSE_AFTER_MS) => {
      drainingSince ??= performance.now()
      refuseAfterMs = afterMs
    },
    close: async () => {
      clearInterval(report)
      await close(server)
    }
  }
}
