/**
 * Takes requests for services in, from callers and from other entry instances: checks them, reads small bodies,
 * registers the exchange and gives the engine its `request-arrived`.
 */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Engine, RequestArrived } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import type { Emit } from './event-source.js'
import { Exchange } from './exchange.js'
import type { ExchangeEnd } from './exchange.js'
import { single } from '@arbutustray/http'
import { HEADER, requestHeaders } from './headers.js'
import { readBody } from './request-body.js'
import type { BodyFault, RequestBody } from './request-body.js'
import type { RequestIds } from './request-ids.js'
import { reject } from './reject.js'
import type { Rejection } from './reject.js'
import { services } from './service-index.js'
import { parseServicePath } from './service-path.js'
import type { ServicePath } from './service-path.js'

export interface IntakeOptions {
  readonly instanceId: string
  readonly engine: Engine
  readonly emit: Emit
  readonly telemetry: Telemetry
  readonly exchanges: Map<string, Exchange>
  readonly ids: RequestIds
  readonly maxBodyBytes: number
  /** Time in which a small body must arrive, in milliseconds. */
  readonly bodyTimeoutMs: number
  /** Requests that this instance holds at a time; more are refused with `queue-full`. */
  readonly maxRequests: number
}

/** Takes one request in. `prefix` is the part of the URL before the service. */
export type Intake = (
  request: IncomingMessage, response: ServerResponse, prefix: string, forwarded?: RequestArrived['forwarded']
) => void

const BODY_REJECTIONS: Readonly<Record<BodyFault, Rejection>> = {
  'too-large': { status: 413, reason: 'request-too-large' },
  'too-slow': { status: 408, reason: 'deadline-passed' },
  closed: { status: 400, reason: 'client-cancelled' }
}

/** Creates the intake. */
export function createIntake (options: IntakeOptions): Intake {
  const { engine, emit, telemetry, exchanges, ids } = options

  function onEnd (exchange: Exchange, end: ExchangeEnd): void {
    const { requestId, wireId, service } = exchange.options
    exchanges.delete(requestId)
    ids.release(wireId)
    if (end.cancelled) emit({ type: 'request-cancelled', requestId })
    const known = services(engine.configuration()).has(service) ? service : 'unknown'
    telemetry.metrics.increment('arbutustray_requests_total', { service: known, outcome: end.outcome, reason: end.reason })
    const seconds = (performance.now() - exchange.arrivedAt) / 1_000
    telemetry.metrics.observe('arbutustray_request_duration_seconds', { service: known, kind: exchange.kind }, seconds)
  }

  return (request, response, prefix, forwarded) => {
    const rejectAs = (rejection: Rejection): void => reject(request, response, rejection, telemetry)
    const path = parseServicePath(request.url ?? '', prefix)
    const callerId = readCallerId(request)
    const timeoutMs = readTimeout(request)
    if (path === undefined || callerId === undefined || timeoutMs === 'malformed') {
      return rejectAs({ status: 400, reason: 'request-malformed' })
    }
    if (exchanges.size >= options.maxRequests) return rejectAs({ status: 503, reason: 'queue-full' })
    const begunAt = performance.now()
    let exchange: Exchange | undefined

    const onBody = (body: RequestBody): void => {
      // The time that a small body took counts against the caller's deadline.
      const leftMs = timeoutMs === undefined ? undefined : Math.max(0, timeoutMs - (performance.now() - begunAt))
      exchange = open(request, response, path, callerId, body, forwarded !== undefined)
      const arrived = arrivedEvent(request, exchange, path, leftMs, forwarded)
      exchanges.set(exchange.options.requestId, exchange)
      emit(arrived)
      exchange.kind = engine.world.requests.get(arrived.requestId)?.kind ?? exchange.kind
    }
    const onFault = (fault: BodyFault): void => {
      const rejection = BODY_REJECTIONS[fault]
      if (exchange === undefined) return rejectAs(rejection)
      // A streamed body exceeds the limit: an attempt may have run on the part that was sent.
      exchange.respond('unknown', rejection.reason, rejection.status)
      emit({ type: 'request-cancelled', requestId: exchange.options.requestId })
    }
    const maxBytes = Math.min(options.maxBodyBytes, services(engine.configuration()).get(path.service)?.maxBodyBytes ?? options.maxBodyBytes)
    readBody(request, { maxBytes, bufferTimeoutMs: options.bodyTimeoutMs, onBody, onFault })
  }

  function open (
    request: IncomingMessage, response: ServerResponse, path: ServicePath, callerId: string, body: RequestBody,
    fromPeer: boolean
  ): Exchange {
    const { requestId, wireId } = ids.assign(callerId)
    return new Exchange({
      request,
      response,
      requestId,
      callerId,
      wireId,
      service: path.service,
      method: request.method ?? 'GET',
      target: path.target,
      headers: requestHeaders(request.rawHeaders, request.headers.connection),
      body,
      keyed: request.headers[HEADER.key] !== undefined,
      hop: telemetry.traces.startHop('request', single(request.headers[HEADER.traceparent])),
      instanceId: options.instanceId,
      version: () => engine.configuration()?.version ?? 0,
      headroom: fromPeer ? () => engine.headroom(path.service) : undefined,
      onEnd
    })
  }
}

function arrivedEvent (
  request: IncomingMessage, exchange: Exchange, path: ServicePath, timeoutMs: number | undefined,
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
    key: single(request.headers[HEADER.key]),
    timeoutMs,
    contentLength: BODY_LENGTHS[body.type](body),
    singleUseBody: body.type === 'streamed',
    forwarded
  }
}

const BODY_LENGTHS: Readonly<Record<RequestBody['type'], (body: RequestBody) => number | undefined>> = {
  none: () => 0,
  buffered: body => body.type === 'buffered' ? body.bytes.length : undefined,
  streamed: body => body.type === 'streamed' ? body.length : undefined
}

const CALLER_ID = /^[\x21-\x7e]{1,128}$/

/** The caller's `x-request-id`, or a new one; `undefined` if it is malformed. */
function readCallerId (request: IncomingMessage): string | undefined {
  const value = single(request.headers[HEADER.requestId])
  if (value === undefined) return randomUUID()
  return CALLER_ID.test(value) ? value : undefined
}

function readTimeout (request: IncomingMessage): number | undefined | 'malformed' {
  const value = single(request.headers[HEADER.timeout])
  if (value === undefined) return undefined
  return /^\d{1,9}$/.test(value) ? Number(value) : 'malformed'
}
