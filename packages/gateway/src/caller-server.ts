/**
 * HTTP server for callers: reads each request completely, passes it to the steering engine and sends exactly one answer.
 */
import type { CallerLimits, Refusal, Relay, Respond, Route, SteeringEvent } from '@arbutustray/steering'
import type { Telemetry } from '@arbutustray/telemetry'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Answer } from './answer.js'
import type { AnswerMemory } from './answer-memory.js'
import type { CallerRequest } from './caller-connection.js'
import type { Dialect } from './dialect.js'
import type { HttpExchange } from './http-exchange.js'
import type { HttpListener } from './http-listener.js'
import { STATUS_CODES } from 'node:http'
import { firstValue } from '@arbutustray/http'
import { backlogFor, DEFAULT_RETRY_AFTER_MS, IS_IDEMPOTENT, POSSIBLY_RUN, REFUSAL_STATUS, STOPPING_RETRY_AFTER_MS } from '@arbutustray/steering'
import { CallerConnection } from './caller-connection.js'
import { createHttpListener } from './http-listener.js'
import { createIntakeQueue } from './intake-queue.js'
import { createSlowCallers } from './slow-callers.js'
import { createTeamCounter, teamOutcome } from './team-counter.js'
import { filterRequestHeaders, parseApiKey, parseWholeNumber, removeTeamHeaders } from './message-headers.js'

export interface CallerServerOptions {
  readonly dialect: Dialect
  readonly exchanges: Map<string, HttpExchange>
  readonly emit: (event: SteeringEvent) => void
  readonly telemetry: Pick<Telemetry, 'log' | 'metrics'>
  /** Processor cores that the process may use, or a part of one. */
  readonly cores: number
  /** Memory that the process may use, in MiB; `undefined` if it is not stated. */
  readonly memoryMb: number | undefined
  readonly answerMemory: AnswerMemory
  /** Limits of the current deployment; `undefined` before the first one. */
  readonly limits: () => CallerLimits | undefined
  /** Whether the current deployment has teams. */
  readonly hasTeams: () => boolean
  readonly findRoute: (host: string, path: string) => Route | undefined
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
  /** Number of requests that were read and not yet answered, without those that wait for answers ahead of them. */
  readonly inFlight: () => number
  /** Number of requests that were read and are not handled yet. */
  readonly queued: () => number
  /** Closes connections whose callers don't read, if memory is short; called periodically. */
  readonly closeSlowCallers: (now: number) => void
  /** Applies the limits of a new deployment. */
  readonly applyLimits: (limits: CallerLimits) => void
}

/** Maximum size of the header that Node parses; the deployment's own limit is checked afterwards. */
const MAX_PARSED_HEADER_BYTES = 65_536
const BYTES_PER_MIB = 1_048_576
/** Maximum total size of the request bodies that are held in memory. */
const MAX_BUFFERED_BODY_BYTES = 64 * BYTES_PER_MIB
/** Part of the process's memory that request bodies may take; the runtime and answers need the rest. */
const BODY_MEMORY_SHARE = 1 / 8
/** Time that an idle connection is kept beyond the idle timeout of callers, so that the caller closes it first. */
const KEEP_ALIVE_MARGIN_MS = 1_000
/** Interval at which Node checks connections for an exceeded header timeout. */
const TIMEOUT_CHECK_INTERVAL_MS = 1_000
const MS_PER_SECOND = 1_000
/** Status that must name an authentication scheme (RFC 9110, section 15.5.2). */
const UNAUTHORIZED = 401
/** Value of the log field `team` for anonymous requests and in a deployment without teams. */
const NO_TEAM = ''
/** Statuses of input that is no valid request, by the code of Node's error; 400 for all others. */
const INVALID_INPUT_STATUS: Readonly<Record<string, number | undefined>> = {
  HPE_HEADER_OVERFLOW: 431, HPE_CHUNK_EXTENSIONS_OVERFLOW: 413, ERR_HTTP_REQUEST_TIMEOUT: 408
}
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
  const maxBufferedBodyBytes = Math.min(MAX_BUFFERED_BODY_BYTES, (options.memoryMb ?? Infinity) * BYTES_PER_MIB * BODY_MEMORY_SHARE)

  /** Requests by connection, since Node's server knows only the first of them. */
  const connections = new Map<Socket, CallerConnection>()

  const connectionOptions = {
    shouldClose: options.shouldCloseConnections,
    isRepeatable: ({ request }: CallerRequest): boolean => {
      const route = options.findRoute(hostOf(request.headers.host), pathOf(request.url ?? '/'))
      return route === undefined || IS_IDEMPOTENT[route.kind]
    },
    onReleased: enqueueRequest
  }

  function connectionOf (socket: Socket): CallerConnection {
    const existing = connections.get(socket)
    if (existing !== undefined) return existing
    const created = new CallerConnection(socket, connectionOptions)
    connections.set(socket, created)
    socket.once('close', () => connections.delete(socket))
    return created
  }

  /** Rejects a request before routing and closes its connection. */
  function reject (rejected: CallerRequest, status: number, retryAfterMs?: number): void {
    telemetry.metrics.increment('arbutustray_rejected_requests_total', { status: String(status) })
    telemetry.log('request-rejected', { status, reason: 'before routing' })
    const retry = retryAfterMs === undefined ? [] : ['retry-after', String(retryAfterMs / MS_PER_SECOND)]
    const { connection, response } = rejected
    connection.closeAfter(rejected)
    connection.answer(rejected, extraHeaders => {
      response.writeHead(status, ['content-length', '0', ...extraHeaders, ...retry])
      response.end()
    })
  }

  function startExchange (accepted: CallerRequest): void {
    const { request, response, body, receivedAt } = accepted
    accepted.isHandled = true
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
      callerRequest: accepted,
      request,
      response,
      headers: hasTeams ? removeTeamHeaders(forwarded, headerNames) : forwarded,
      hasTeamHeaders: !hasTeams,
      body,
      receivedAt,
      answers: new Map(),
      decisionLog: [],
      team: undefined,
      isSettled: false,
      isClosed: false
    }
    exchanges.set(id, exchange)
    accepted.onClosed = () => onExchangeClosed(exchange)
    accepted.heldBytes = () => heldBytesOf(exchange)
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

  /** Called when the response was sent completely, the caller closed its connection or the response can't be sent. */
  function onExchangeClosed (exchange: HttpExchange): void {
    exchange.isClosed = true
    exchanges.delete(exchange.id)
    exchange.answers.forEach(answer => answer.abandon())
    releaseBody(exchange.callerRequest)
    if (exchange.isSettled) return
    exchange.isSettled = true
    countTeamRequest(exchange.team, 'admitted')
    telemetry.log('request-abandoned', {
      requestId: exchange.callerRequestId, team: exchange.team ?? NO_TEAM, durationMs: Math.round(performance.now() - exchange.receivedAt), decisions: exchange.decisionLog.join('; ')
    })
    emit({ type: 'request-cancelled', requestId: exchange.id })
  }

  function heldBytesOf ({ answers }: HttpExchange): number {
    let bytes = 0
    for (const answer of answers.values()) bytes += answer.heldBytes
    return bytes
  }

  function releaseBody (request: CallerRequest): void {
    bufferedBodyBytes -= request.bodyBytes
    request.bodyBytes = 0
    request.body = undefined
  }

  function readBody (reading: CallerRequest): void {
    const { request } = reading
    const limit = options.limits()?.bodyBytes ?? Infinity
    const chunks: Buffer[] = []
    reading.isReading = true
    request.on('data', (chunk: Buffer) => {
      if (reading.isDropped) return
      reading.bodyBytes += chunk.length
      bufferedBodyBytes += chunk.length
      const size = reading.bodyBytes
      if (size <= limit && bufferedBodyBytes <= maxBufferedBodyBytes) {
        chunks.push(chunk)
        return
      }
      chunks.length = 0
      request.removeAllListeners('data').removeAllListeners('end').resume()
      releaseBody(reading)
      if (size > limit) reject(reading, 413)
      else reject(reading, 503, MS_PER_SECOND)
    })
    request.once('end', () => {
      reading.isReading = false
      reading.body = chunks.length === 1 ? chunks[0] : Buffer.concat(chunks)
      enqueueRequest(reading)
    })
  }

  function onRequest (request: IncomingMessage, response: ServerResponse): void {
    const receivedAt = performance.now()
    const limits = options.limits()
    const accepted = connectionOf(request.socket).take(request, response, receivedAt)
    if (accepted === undefined) return
    accepted.onClosed = releaseBody
    if (options.isClosing()) return reject(accepted, 503, STOPPING_RETRY_AFTER_MS)
    if (request.url?.startsWith('/') !== true) return reject(accepted, 400)
    if (limits !== undefined && request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0) > limits.headerBytes) {
      return reject(accepted, 431)
    }
    if (Number(request.headers['content-length'] ?? 0) > (limits?.bodyBytes ?? Infinity)) return reject(accepted, 413)
    const hasBody = request.headers['transfer-encoding'] !== undefined || Number(request.headers['content-length'] ?? 0) > 0
    if (hasBody) readBody(accepted)
    else {
      request.resume()
      enqueueRequest(accepted)
    }
  }

  const intakeQueue = createIntakeQueue<CallerRequest>({
    handle: queued => dequeue(queued, startExchange),
    refuse: queued => dequeue(queued, refuseUnhandled),
    acceptWaitMs: () => listener.maxAcceptWaitMs()
  })

  function enqueueRequest (request: CallerRequest): void {
    if (request.isDropped || !request.connection.mayHandle(request)) return
    request.queuedAt = performance.now()
    intakeQueue.add(request)
  }

  /** Calls `answer` for a request that leaves the queue, unless it was dropped or its caller has closed the connection. */
  function dequeue (queued: CallerRequest, answer: (request: CallerRequest) => void): void {
    telemetry.metrics.observe('arbutustray_intake_wait_seconds', {}, (performance.now() - queued.queuedAt) / MS_PER_SECOND)
    if (queued.isDropped) return
    const { socket } = queued.request
    if (!socket.readableEnded && !socket.destroyed) return answer(queued)
    releaseBody(queued)
    socket.destroy()
  }

  /** Refuses a request that the instance was too busy to handle. The caller retries on another connection, so this one is closed. */
  function refuseUnhandled (refused: CallerRequest): void {
    const { connection, request, response, receivedAt } = refused
    releaseBody(refused)
    const reason = 'intake-timeout'
    const status = REFUSAL_STATUS[reason]
    const requestId = firstValue(request.headers[dialect.headers.requestId]) ?? ''
    const durationMs = Math.round(performance.now() - receivedAt)
    telemetry.metrics.increment('arbutustray_answers_total', { route: UNKNOWN_ROUTE_LABEL, status: String(status), source: reason })
    telemetry.log('request-refused', {
      requestId, route: UNKNOWN_ROUTE_LABEL, team: NO_TEAM, status, reason, retryAfterMs: DEFAULT_RETRY_AFTER_MS, durationMs, version: options.version(), decisions: `${intakeQueue.size()} more in the intake queue`
    })
    connection.close()
    connection.answer(refused, extraHeaders => {
      response.writeHead(status, [
        'content-length', '0', dialect.headers.requestId, requestId, 'retry-after', (DEFAULT_RETRY_AFTER_MS / MS_PER_SECOND).toFixed(2), ...extraHeaders
      ])
      response.end()
    })
  }

  /** Counts an answer in the metrics and returns the fields of its log event. */
  function recordAnswer (exchange: HttpExchange, route: string, status: number, source: 'upstream' | Refusal): { route: string, team: string, durationMs: number, version: number, decisions: string } {
    const durationMs = performance.now() - exchange.receivedAt
    telemetry.metrics.increment('arbutustray_answers_total', { route, status: String(status), source })
    telemetry.metrics.observe('arbutustray_answer_duration_seconds', { route }, durationMs / MS_PER_SECOND)
    countTeamRequest(exchange.team, teamOutcome(source))
    return { route, team: exchange.team ?? NO_TEAM, durationMs: Math.round(durationMs), version: options.version(), decisions: exchange.decisionLog.join('; ') }
  }

  function writeEmptyAnswer ({ response, callerRequestId }: HttpExchange, status: number, headers: readonly string[]): void {
    response.writeHead(status, ['content-length', '0', dialect.headers.requestId, callerRequestId, ...headers])
    response.end()
  }

  /** Relays an answer when the answers ahead have been sent. One that breaks off until then is replaced, since nothing of it was sent. */
  function relayInTurn (exchange: HttpExchange, answer: Answer): void {
    const { callerRequest, response } = exchange
    const { connection } = callerRequest
    if (answer.options.isCloseDelimited) connection.closeAfter(callerRequest)
    const isSent = connection.answer(callerRequest, extraHeaders => {
      if (answer.hasFailed) writeEmptyAnswer(exchange, REFUSAL_STATUS['outcome-unknown'], extraHeaders)
      else answer.relay(response, extraHeaders)
    })
    if (!isSent) answer.hold()
  }

  const listener = createHttpListener({
    maxHeaderSize: MAX_PARSED_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS, keepAliveTimeout: 0
  }, onRequest, backlogFor(options.cores))

  // Node itself would send the rejection in the place of the first answer that is due, and close the connection.
  listener.server.on('clientError', (error: NodeJS.ErrnoException, stream) => {
    const socket = stream as Socket
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const status = INVALID_INPUT_STATUS[error.code ?? ''] ?? 400
    connectionOf(socket).rejectInput(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`)
  })

  // Node counts a connection as idle from the call of `end` on, also while its answer is unsent and others are due behind it.
  listener.server.closeIdleConnections = () => {
    for (const { isIdle, socket } of connections.values()) if (isIdle) socket.destroy()
  }

  // Without a listener, Node destroys the connection, together with the answers that are due. It has removed its own listeners.
  listener.server.on('connect', (_request, stream) => {
    const connection = connectionOf(stream as Socket)
    stream.on('error', () => stream.destroy())
    stream.on('drain', () => connection.continueSending())
    connection.rejectInput(`HTTP/1.1 405 ${STATUS_CODES[405] ?? ''}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`)
  })

  listener.server.on('connection', () => telemetry.metrics.observe('arbutustray_accept_wait_seconds', {}, listener.maxAcceptWaitMs() / MS_PER_SECOND))

  const closeSlowCallers = createSlowCallers({
    memory: options.answerMemory,
    callers: () => connections.values(),
    onClosed: (heldBytes, readBytes) => {
      telemetry.metrics.increment('arbutustray_slow_callers_closed_total', {})
      telemetry.log('slow-caller-closed', { heldBytes, readBytes })
    }
  })

  return {
    listener,
    closeSlowCallers,
    inFlight: () => exchanges.size + intakeQueue.size(),
    queued: intakeQueue.size,
    relay: ({ requestId, attemptId, route }) => {
      const exchange = exchanges.get(requestId)
      const answer = exchange?.answers.get(attemptId)
      if (exchange === undefined || answer === undefined || exchange.isSettled) return
      exchange.isSettled = true
      telemetry.log('request-served', { requestId: exchange.callerRequestId, status: answer.status, ...recordAnswer(exchange, route, answer.status, 'upstream') })
      relayInTurn(exchange, answer)
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
      exchange.callerRequest.connection.answer(exchange.callerRequest, extraHeaders => writeEmptyAnswer(exchange, status, [...challenge, ...retry, ...extraHeaders]))
    },
    applyLimits: limits => {
      listener.server.keepAliveTimeout = Math.max(listener.server.keepAliveTimeout, limits.idleTimeoutMs + KEEP_ALIVE_MARGIN_MS)
      listener.server.headersTimeout = limits.headerTimeoutMs
    }
  }
}
