/**
 * Accepts requests for services, from callers and from other entry instances: validates them, buffers small bodies,
 * registers the exchange and emits `request-arrived` to the engine.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Engine, RequestArrived } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import type { Emit } from './event-queue.js'
import { CallerExchange } from './caller-exchange.js'
import type { ExchangeEnd } from './caller-exchange.js'
import { firstValue } from '@arbutustray/http'
import { HEADER, filterRequestHeaders } from './headers.js'
import { readBody } from './request-body.js'
import type { BodyReadError, RequestBody } from './request-body.js'
import type { RequestIds } from './request-ids.js'
import { reject } from './reject.js'
import type { Rejection } from './reject.js'
import { indexServices } from './service-index.js'
import { parseServicePath } from './service-path.js'
import type { ServicePath } from './service-path.js'

export interface ServiceRequestHandlerOptions {
  readonly instanceId: string
  readonly engine: Engine
  readonly emit: Emit
  readonly telemetry: Telemetry
  readonly exchanges: Map<string, CallerExchange>
  readonly requestIds: RequestIds
  readonly maxBodyBytes: number
  /** Time in which a small body must arrive completely, in milliseconds. */
  readonly bodyTimeoutMs: number
  /** Largest number of requests in progress on this instance; further ones are refused with `queue-full`. */
  readonly maxLiveRequests: number
}

/** Handles one request. `prefix` is the part of the URL before the service; `forwarded` is set if a peer sent it. */
export type ServiceRequestHandler = (
  request: IncomingMessage, response: ServerResponse, prefix: string, forwarded?: RequestArrived['forwarded']
) => void

const REJECTION_BY_BODY_ERROR: Readonly<Record<BodyReadError, Rejection>> = {
  'too-large': { status: 413, reason: 'request-too-large' },
  'too-slow': { status: 408, reason: 'deadline-passed' },
  closed: { status: 400, reason: 'client-cancelled' }
}

/** Creates the handler that the caller port and the peer port share. */
export function createServiceRequestHandler (options: ServiceRequestHandlerOptions): ServiceRequestHandler {
  const { engine, emit, telemetry, exchanges, requestIds } = options

  function onEnd (exchange: CallerExchange, end: ExchangeEnd): void {
    const { requestId, forwardedRequestId, service } = exchange.options
    exchanges.delete(requestId)
    requestIds.release(forwardedRequestId)
    if (end.cancelled) emit({ type: 'request-cancelled', requestId })
    const serviceLabel = indexServices(engine.configuration()).has(service) ? service : 'unknown'
    telemetry.metrics.increment('arbutustray_requests_total', { service: serviceLabel, outcome: end.outcome, reason: end.reason })
    const seconds = (performance.now() - exchange.arrivedAt) / 1_000
    telemetry.metrics.observe('arbutustray_request_duration_seconds', { service: serviceLabel, kind: exchange.kind }, seconds)
  }

  return (request, response, prefix, forwarded) => {
    const rejectAs = (rejection: Rejection): void => reject(request, response, rejection, telemetry)
    const path = parseServicePath(request.url ?? '', prefix)
    const callerRequestId = readRequestId(request)
    const timeoutMs = readTimeout(request)
    if (path === undefined || callerRequestId === undefined || timeoutMs === 'malformed') {
      return rejectAs({ status: 400, reason: 'request-malformed' })
    }
    if (exchanges.size >= options.maxLiveRequests) return rejectAs({ status: 503, reason: 'queue-full' })
    const startedAt = performance.now()
    let exchange: CallerExchange | undefined

    const onBody = (body: RequestBody): void => {
      // The time spent on reading a small body counts against the caller's deadline.
      const remainingMs = timeoutMs === undefined ? undefined : Math.max(0, timeoutMs - (performance.now() - startedAt))
      exchange = createExchange(request, response, path, callerRequestId, body, forwarded !== undefined)
      const arrived = createRequestArrived(request, exchange, path, remainingMs, forwarded)
      exchanges.set(exchange.options.requestId, exchange)
      emit(arrived)
      exchange.kind = engine.world.requests.get(arrived.requestId)?.kind ?? exchange.kind
    }
    const onError = (error: BodyReadError): void => {
      const rejection = REJECTION_BY_BODY_ERROR[error]
      if (exchange === undefined) return rejectAs(rejection)
      // A streamed body turned out to be too large. An attempt may have been executed with the part already sent.
      exchange.respond('unknown', rejection.reason, rejection.status)
      emit({ type: 'request-cancelled', requestId: exchange.options.requestId })
    }
    const maxBytes = Math.min(options.maxBodyBytes, indexServices(engine.configuration()).get(path.service)?.maxBodyBytes ?? options.maxBodyBytes)
    readBody(request, { maxBytes, bufferTimeoutMs: options.bodyTimeoutMs, onBody, onError })
  }

  function createExchange (
    request: IncomingMessage, response: ServerResponse, path: ServicePath, callerRequestId: string, body: RequestBody,
    fromPeer: boolean
  ): CallerExchange {
    const { requestId, forwardedRequestId } = requestIds.assign(callerRequestId)
    return new CallerExchange({
      request,
      response,
      requestId,
      callerRequestId,
      forwardedRequestId,
      service: path.service,
      method: request.method ?? 'GET',
      requestTarget: path.requestTarget,
      headers: filterRequestHeaders(request.rawHeaders, request.headers.connection),
      body,
      hasIdempotencyKey: request.headers[HEADER.key] !== undefined,
      hop: telemetry.traces.startHop('request', firstValue(request.headers[HEADER.traceparent])),
      instanceId: options.instanceId,
      configurationVersion: () => engine.configuration()?.version ?? 0,
      headroom: fromPeer ? () => engine.headroom(path.service) : undefined,
      onEnd
    })
  }
}

function createRequestArrived (
  request: IncomingMessage, exchange: CallerExchange, path: ServicePath, timeoutMs: number | undefined,
  forwarded: RequestArrived['forwarded']
): RequestArrived {
  const { requestId, body } = exchange.options
  return {
    type: 'request-arrived',
    requestId,
    service: path.service,
    method: exchange.options.method,
    path: path.path,
    client: forwarded === undefined ? request.socket.remoteAddress : undefined,
    key: firstValue(request.headers[HEADER.key]),
    timeoutMs,
    contentLength: BODY_LENGTH_BY_TYPE[body.type](body),
    singleUseBody: body.type === 'streamed',
    forwarded
  }
}

const BODY_LENGTH_BY_TYPE: Readonly<Record<RequestBody['type'], (body: RequestBody) => number | undefined>> = {
  none: () => 0,
  buffered: body => body.type === 'buffered' ? body.bytes.length : undefined,
  streamed: body => body.type === 'streamed' ? body.length : undefined
}

const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,128}$/

/** Reads the caller's `x-request-id` or generates one. Returns `undefined` if the header is malformed. */
function readRequestId (request: IncomingMessage): string | undefined {
  const value = firstValue(request.headers[HEADER.requestId])
  if (value === undefined) return randomUUID()
  return REQUEST_ID_PATTERN.test(value) ? value : undefined
}

function readTimeout (request: IncomingMessage): number | undefined | 'malformed' {
  const value = firstValue(request.headers[HEADER.timeout])
  if (value === undefined) return undefined
  return /^\d{1,9}$/.test(value) ? Number(value) : 'malformed'
}
