/**
 * The caller's side of one request, from its arrival to the end of its answer. It knows nothing of attempts beyond
 * the callbacks that they register.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { REASONS } from '@arbutustray/core'
import type { Headroom, Outcome, Reason, RecordedAnswer, RequestKind } from '@arbutustray/core'
import type { Hop } from '@arbutustray/telemetry'
import { HEADER } from './headers.js'
import { formatHeadroom } from './headroom-header.js'
import { discardRemainingBody } from './request-body.js'
import type { RequestBody } from './request-body.js'

/** What is known of a request when it enters the engine. */
export interface CallerExchangeOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Identity inside this instance. */
  readonly requestId: string
  /** `x-request-id` towards the caller. */
  readonly callerRequestId: string
  /** `x-request-id` towards upstreams; differs from `callerId` if another live request uses that one. */
  readonly forwardedRequestId: string
  readonly service: string
  readonly method: string
  /** Path with query, as the next hop receives it below the service. */
  readonly requestTarget: string
  /** Raw headers that go to the next hop. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  /** The request has an idempotency key, so its answer may have to be recorded. */
  readonly hasIdempotencyKey: boolean
  readonly hop: Hop
  readonly instanceId: string
  readonly configurationVersion: () => number
  /** Set when a peer forwarded the request, which wants to know what more it may forward. */
  readonly headroom: (() => Headroom | undefined) | undefined
  /** Called once, when the answer was handed over whole or the caller's connection has ended. */
  readonly onEnd: (exchange: CallerExchange, end: ExchangeEnd) => void
}

/** How an exchange ended, for metrics and traces. */
export interface ExchangeEnd {
  readonly outcome: Outcome
  readonly reason: Reason
  /** The caller closed its connection before the answer was whole. */
  readonly cancelled: boolean
}

/** One live exchange with a caller. */
export class CallerExchange {
  readonly arrivedAt = performance.now()
  /** Kind of the matching route, for metrics. */
  kind: RequestKind | 'unclassified' = 'unclassified'
  #endOnClose: ExchangeEnd = { outcome: 'unknown', reason: 'client-cancelled', cancelled: true }
  #ended = false
  #onDrain: (() => void) | undefined

  constructor (readonly options: CallerExchangeOptions) {
    options.response.on('close', () => this.#finish(this.#endOnClose))
  }

  /** The caller can no longer be answered, or was answered. */
  get ended (): boolean {
    return this.#ended
  }

  /** The system itself answers. Resets the exchange if part of an answer was already sent. */
  respond (outcome: Outcome, reason: Reason, status: number, retryAfterMs?: number): void {
    const { response, callerRequestId } = this.options
    if (this.#ended) return
    if (response.headersSent) return this.reset(reason)
    const body = Buffer.from(JSON.stringify({ outcome, reason, message: REASONS[reason], requestId: callerRequestId }))
    const headers = ['content-type', 'application/json', 'content-length', String(body.length)]
    if (retryAfterMs !== undefined) headers.push('retry-after', String(Math.ceil(retryAfterMs / 1_000)))
    this.sendHead(status, headers, outcome, reason)
    response.end(body)
  }

  /** Answers from a recorded answer. Without a recorded body only status and outcome are sent. */
  replay (answer: RecordedAnswer): void {
    if (this.#ended) return
    const keptHeaders = answer.headers.filter(([name]) => answer.body !== undefined || name.toLowerCase() !== 'content-length')
    this.sendHead(answer.status, keptHeaders.flat(), 'served', 'replayed')
    this.options.response.end(answer.body)
  }

  /** Sends status and headers of an answer. */
  sendHead (status: number, headers: readonly string[], outcome: Outcome, reason: Reason): void {
    const { response, callerRequestId, instanceId, configurationVersion } = this.options
    if (this.#ended || response.headersSent) return
    this.#endOnClose = { outcome, reason, cancelled: true }
    const all = headers.concat(
      HEADER.outcome, outcome,
      HEADER.reason, reason,
      HEADER.instance, instanceId,
      HEADER.version, String(configurationVersion()),
      HEADER.requestId, callerRequestId
    )
    const headroom = this.options.headroom?.()
    if (headroom !== undefined) all.push(HEADER.headroom, formatHeadroom(headroom))
    response.writeHead(status, all)
  }

  /** Hands over a part of the body. Returns false if the caller must read first; `onDrain` is called then. */
  write (chunk: Uint8Array, onDrain: () => void): boolean {
    const { response } = this.options
    if (this.#ended || response.destroyed || response.write(chunk)) return true
    this.#onDrain = onDrain
    response.once('drain', onDrain)
    return false
  }

  /** Ends the answer. */
  end (): void {
    if (!this.#ended) this.options.response.end()
  }

  /** Closes the caller's connection, so that a part of an answer can't be taken for the whole. */
  reset (reason: Reason): void {
    if (this.#ended) return
    this.#endOnClose = { outcome: 'unknown', reason, cancelled: false }
    this.options.response.destroy()
  }

  #finish (end: ExchangeEnd): void {
    if (this.#ended) return
    this.#ended = true
    const { request, response, hop, onEnd } = this.options
    const isComplete = response.writableFinished
    // An attempt that goes on without its caller must not wait for the caller to read.
    this.#onDrain?.()
    if (isComplete) discardRemainingBody(request)
    hop.end({ outcome: end.outcome, reason: end.reason })
    onEnd(this, { ...end, cancelled: end.cancelled && !isComplete })
  }
}
