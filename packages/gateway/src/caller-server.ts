/**
 * HTTP server for callers: reads each request completely, passes it to the steering engine and sends exactly one answer.
 */
import type { CallerLimits, Refusal, Relay, Respond, SteeringEvent } from '@arbutustray/steering'
import type { Telemetry } from '@arbutustray/telemetry'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Dialect } from './dialect.js'
import type { HttpExchange } from './http-exchange.js'
import type { HttpListener } from './http-listener.js'
import { firstValue } from '@arbutustray/http'
import { backlogFor, DEFAULT_RETRY_AFTER_MS, POSSIBLY_RUN, REFUSAL_STATUS, STOPPING_RETRY_AFTER_MS } from '@arbutustray/steering'
import { createHttpListener } from './http-listener.js'
import { createIntakeQueue } from './intake-queue.js'
import { createTeamCounter, teamOutcome } from './team-counter.js'
import { filterRequestHeaders, parseApiKey, parseWholeNumber, removeTeamHeaders } from './message-headers.js'

export interface CallerServerOptions {
  readonly dialect: Dialect
  readonly exchanges: Map<string, HttpExchange>
  readonly emit: (event: SteeringEvent) => void
  readonly telemetry: Pick<Telemetry, 'log' | 'metrics'>
  /** Processor cores that the process may use, or a part of one. */
  readonly cores: number
  /** Limits of the current deployment; `undefined` before the first one. */
  readonly limits: () => CallerLimits | undefined
  /** Whether the current deployment has teams. */
  readonly hasTeams: () => boolean
  /** Version of the current deployment, for the log. */
  readonly version: () => number
  /** Whether answers ask callers to close their connections (`connection: close`): from the phase `leaving` on. */
  readonly shouldCloseConnections: () => boolean
  /** Whether new requests are refused because the process is about to exit. */
  readonly isClosing: () => boolean
}

export interface CallerServer {
  readonly listener: HttpListener
  readonly relay: (command: Relay) => void
  readonly respond: (command: Respond) => void
  /** Number of requests that were read and not yet answered, including those in the intake queue. */
  readonly inFlight: () => number
  /** Number of requests that were read and are not handled yet. */
  readonly queued: () => number
  /** Applies the limits of a new deployment. */
  readonly applyLimits: (limits: CallerLimits) => void
}

/** A request that was read and is not handled yet. */
interface QueuedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly body: Buffer | undefined
  readonly receivedAt: number
  readonly queuedAt: number
}

/** Maximum size of the header that Node parses; the deployment's own limit is checked afterwards. */
const MAX_PARSED_HEADER_BYTES = 65_536
/** Maximum total size of the request bodies that are held in memory. */
const MAX_BUFFERED_BODY_BYTES = 64 * 1_048_576
/** Time that an idle connection is kept beyond the idle timeout of callers, so that the caller closes it first. */
const KEEP_ALIVE_MARGIN_MS = 1_000
/** Interval at which Node checks connections for an exceeded header timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000
const MS_PER_SECOND = 1_000
/** Status that must name an authentication scheme (RFC 9110, section 15.5.2). */
const UNAUTHORIZED = 401
/** Value of the log field `team` for anonymous requests and in a deployment without teams. */
const NO_TEAM = ''
/** Metrics label of requests that match no route. */
const UNKNOWN_ROUTE_LABEL = 'unknown'

/** Path without the query. */
function pathOf (target: string): string {
  const end = target.search(/[?#]/)
  return end < 0 ? target : target.slice(0, end)
}

function hostOf (header: string | undefined): string {
  return (header ?? '').toLowerCase().replace(/:\d+$/, '')
}

export function createCallerServer (options: CallerServerOptions): CallerServer {
  const { dialect, exchanges, emit, telemetry } = options
  const countTeamRequest = createTeamCounter(telemetry.metrics)
  let lastId = 0
  let bufferedBodyBytes = 0

  function reject (response: ServerResponse, status: number, retryAfterMs?: number): void {
    telemetry.metrics.increment('arbutustray_rejected_requests_total', { status: String(status) })
    telemetry.log('request-rejected', { status, reason: 'before routing' })
    const retry = retryAfterMs === undefined ? [] : ['retry-after', String(retryAfterMs / MS_PER_SECOND)]
    response.writeHead(status, ['content-length', '0', 'connection', 'close', ...retry])
    response.end()
  }

  function startExchange (request: IncomingMessage, response: ServerResponse, body: Buffer | undefined, receivedAt: number): void {
    if (response.destroyed) return
    lastId += 1
    const id = String(lastId)
    const { headers } = request
    const headerNames = dialect.headers
    const deadlineMs = parseWholeNumber(firstValue(headers[headerNames.deadline]))
    const hasTeams = options.hasTeams()
    const forwarded = filterRequestHeaders(request.rawHeaders, headers.connection, headerNames)
    const exchange: HttpExchange = {
      id,
      callerRequestId: firstValue(headers[headerNames.requestId]) ?? '',
      request,
      response,
      headers: hasTeams ? removeTeamHeaders(forwarded, headerNames) : forwarded,
      hasTeamHeaders: !hasTeams,
      body,
      receivedAt,
      answers: new Map(),
      decisionLog: [],
      team: undefined,
      isSettled: false
    }
    exchanges.set(id, exchange)
    response.once('close', () => onResponseClose(exchange))
    emit({
      type: 'request-arrived',
      requestId: id,
      host: hostOf(headers.host),
      path: pathOf(request.url ?? '/'),
      objectKey: firstValue(headers[headerNames.objectKey]),
      apiKey: parseApiKey(request.rawHeaders),
      deadlineMs,
      receivedAt
    })
  }

  /** Called when the response was sent completely or the caller closed its connection. */
  function onResponseClose (exchange: HttpExchange): void {
    exchanges.delete(exchange.id)
    exchange.answers.forEach(answer => answer.discard())
    if (exchange.body !== undefined) bufferedBodyBytes -= exchange.body.length
    if (exchange.isSettled) return
    exchange.isSettled = true
    countTeamRequest(exchange.team, 'admitted')
    telemetry.log('request-abandoned', {
      requestId: exchange.callerRequestId, team: exchange.team ?? NO_TEAM, durationMs: Math.round(performance.now() - exchange.receivedAt), decisions: exchange.decisionLog.join('; ')
    })
    emit({ type: 'request-cancelled', requestId: exchange.id })
  }

  function readBody (request: IncomingMessage, response: ServerResponse, receivedAt: number): void {
    const limit = options.limits()?.bodyBytes ?? Infinity
    const chunks: Buffer[] = []
    let size = 0
    const releaseBodyBytes = (): void => { bufferedBodyBytes -= size }
    request.on('data', (chunk: Buffer) => {
      size += chunk.length
      bufferedBodyBytes += chunk.length
      if (size <= limit && bufferedBodyBytes <= MAX_BUFFERED_BODY_BYTES) {
        chunks.push(chunk)
        return
      }
      request.removeAllListeners('data').removeAllListeners('end').off('close', releaseBodyBytes).resume()
      releaseBodyBytes()
      if (size > limit) reject(response, 413)
      else reject(response, 503, MS_PER_SECOND)
    })
    request.once('close', releaseBodyBytes)
    request.once('end', () => {
      request.off('close', releaseBodyBytes)
      enqueueRequest(request, response, chunks.length === 1 ? chunks[0] : Buffer.concat(chunks), receivedAt)
    })
  }

  function onRequest (request: IncomingMessage, response: ServerResponse): void {
    const receivedAt = performance.now()
    const limits = options.limits()
    if (options.shouldCloseConnections()) response.setHeader('connection', 'close')
    if (options.isClosing()) return reject(response, 503, STOPPING_RETRY_AFTER_MS)
    if (request.url?.startsWith('/') !== true) return reject(response, 400)
    if (limits !== undefined && request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0) > limits.headerBytes) {
      return reject(response, 431)
    }
    if (Number(request.headers['content-length'] ?? 0) > (limits?.bodyBytes ?? Infinity)) return reject(response, 413)
    const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
    if (hasBody) readBody(request, response, receivedAt)
    else {
      request.resume()
      enqueueRequest(request, response, undefined, receivedAt)
    }
  }

  const intakeQueue = createIntakeQueue<QueuedRequest>({
    handle: queued => dequeue(queued, () => startExchange(queued.request, queued.response, queued.body, queued.receivedAt)),
    refuse: queued => dequeue(queued, () => refuseUnhandled(queued)),
    acceptWaitMs: () => listener.maxAcceptWaitMs()
  })

  function enqueueRequest (request: IncomingMessage, response: ServerResponse, body: Buffer | undefined, receivedAt: number): void {
    intakeQueue.add({ request, response, body, receivedAt, queuedAt: performance.now() })
  }

  /** Calls `answer` for a request that leaves the queue, unless its caller has closed the connection. */
  function dequeue ({ request, response, body, queuedAt }: QueuedRequest, answer: () => void): void {
    telemetry.metrics.observe('arbutustray_intake_wait_seconds', {}, (performance.now() - queuedAt) / MS_PER_SECOND)
    if (request.socket.readableEnded || request.socket.destroyed) response.destroy()
    if (!response.destroyed) return answer()
    if (body !== undefined) bufferedBodyBytes -= body.length
  }

  /** Refuses a request that the instance was too busy to handle. The caller retries on another connection, so this one is closed. */
  function refuseUnhandled ({ request, response, body, receivedAt }: QueuedRequest): void {
    if (body !== undefined) bufferedBodyBytes -= body.length
    const reason = 'intake-timeout'
    const status = REFUSAL_STATUS[reason]
    const requestId = firstValue(request.headers[dialect.headers.requestId]) ?? ''
    const durationMs = Math.round(performance.now() - receivedAt)
    telemetry.metrics.increment('arbutustray_answers_total', { route: UNKNOWN_ROUTE_LABEL, status: String(status), source: reason })
    telemetry.log('request-refused', {
      requestId, route: UNKNOWN_ROUTE_LABEL, team: NO_TEAM, status, reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, durationMs, version: options.version(), decisions: `${intakeQueue.size()} more in the intake queue`
    })
    response.writeHead(status, [
      'content-length', '0', dialect.headers.requestId, requestId, 'retry-after', (DEFAULT_RETRY_AFTER_MS / MS_PER_SECOND).toFixed(2), 'connection', 'close'
    ])
    response.end()
  }

  /** Counts an answer in the metrics and returns the fields of its log event. */
  function recordAnswer (exchange: HttpExchange, route: string, status: number, source: 'upstream' | Refusal): { route: string, team: string, durationMs: number, version: number, decisions: string } {
    const durationMs = performance.now() - exchange.receivedAt
    telemetry.metrics.increment('arbutustray_answers_total', { route, status: String(status), source })
    telemetry.metrics.observe('arbutustray_answer_duration_seconds', { route }, durationMs / MS_PER_SECOND)
    countTeamRequest(exchange.team, teamOutcome(source))
    return { route, team: exchange.team ?? NO_TEAM, durationMs: Math.round(durationMs), version: options.version(), decisions: exchange.decisionLog.join('; ') }
  }

  function connectionHeaders (): readonly string[] {
    return options.shouldCloseConnections() ? ['connection', 'close'] : []
  }

  const listener = createHttpListener({
    maxHeaderSize: MAX_PARSED_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, keepAliveTimeout: 0
  }, onRequest, backlogFor(options.cores))

  listener.server.on('connection', () => telemetry.metrics.observe('arbutustray_accept_wait_seconds', {}, listener.maxAcceptWaitMs() / MS_PER_SECOND))

  return {
    listener,
    inFlight: () => exchanges.size + intakeQueue.size(),
    queued: intakeQueue.size,
    relay: ({ requestId, attemptId, route }) => {
      const exchange = exchanges.get(requestId)
      const answer = exchange?.answers.get(attemptId)
      if (exchange === undefined || answer === undefined || exchange.isSettled) return
      exchange.isSettled = true
      telemetry.log('request-served', { requestId: exchange.callerRequestId, status: answer.status, ...recordAnswer(exchange, route, answer.status, 'upstream') })
      answer.relay(exchange.response, connectionHeaders())
    },
    respond: ({ requestId, route, team, status, reason, retryAfterMs }) => {
      const exchange = exchanges.get(requestId)
      if (exchange === undefined || exchange.isSettled) return
      exchange.isSettled = true
      exchange.team = team
      const fields = { requestId: exchange.callerRequestId, status, reason, ...recordAnswer(exchange, route ?? UNKNOWN_ROUTE_LABEL, status, reason) }
      if (retryAfterMs !== undefined) telemetry.log('request-refused', { ...fields, retryAfterMs: Math.round(retryAfterMs) })
      else telemetry.log(POSSIBLY_RUN.has(reason) ? 'request-unanswered' : 'request-not-sent', fields)
      const retry = retryAfterMs === undefined ? [] : ['retry-after', (retryAfterMs / MS_PER_SECOND).toFixed(2)]
      const challenge = status === UNAUTHORIZED ? ['www-authenticate', 'Bearer'] : []
      exchange.response.writeHead(status, [
        'content-length', '0', dialect.headers.requestId, exchange.callerRequestId, ...challenge, ...retry, ...connectionHeaders()
      ])
      exchange.response.end()
    },
    applyLimits: limits => {
      listener.server.keepAliveTimeout = Math.max(listener.server.keepAliveTimeout, limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS)
      listener.server.headersTimeout = limits.headerTimeoutMs
    }
  }
}
