/**
 * The caller's side of one request, from its arrival to the end of its answer: sends the answer with back pressure and
 * reports how the exchange ended. It doesn't depend on the attempts, which only register callbacks.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { REASONS } from '@arbutustray/core'
import type { Headroom, Outcome, Reason, RecordedAnswer, RequestKind } from '@arbutustray/core'
import type { Hop } from '@arbutustray/telemetry'
import { HEADER } from './headers.js'
import { formatHeadroom } from './headroom-header.js'
import { discardRemainingBody } from './request-body.js'
import type { RequestBody } from './request-body.js'

/** The request as it is passed to the engine, and the collaborators of its exchange. */
export interface CallerExchangeOptions {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Id of the request within this instance. */
  readonly requestId: string
  /** `x-request-id` in the answer to the caller. */
  readonly callerRequestId: string
  /** `x-request-id` sent to upstreams and peers. Differs from `callerRequestId` if a live request uses that. */
  readonly forwardedRequestId: string
  readonly service: string
  readonly method: string
  /** Path and query below the service, as sent to the next hop. */
  readonly requestTarget: string
  /** Headers for the next hop, as a flat array of names and values. */
  readonly headers: readonly string[]
  readonly body: RequestBody
  /** Whether the request has an idempotency key, so that its answer may have to be recorded. */
  readonly hasIdempotencyKey: boolean
  readonly hop: Hop
  readonly instanceId: string
  readonly configurationVersion: () => number
  /** Headroom to report in the answer; set if a peer forwarded the request. */
  readonly headroom: (() => Headroom | undefined) | undefined
  /** Called once, when the answer was sent completely or the caller's connection was closed. */
  readonly onEnd: (exchange: CallerExchange, end: ExchangeEnd) => void
}

/** How an exchange ended, for metrics and traces. */
export interface ExchangeEnd {
  readonly outcome: Outcome
  readonly reason: Reason
  /** Whether the caller closed its connection before the answer was complete. */
  readonly cancelled: boolean
}

/** The exchange of one request and its answer with a caller or a forwarding peer. */
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

  /** Whether the answer was sent or the caller's connection was closed. */
  get ended (): boolean {
    return this.#ended
  }

  /** Sends an answer of this instance instead of an upstream's. Resets the connection if headers were already sent. */
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

  /** Sends a recorded answer. If its body was too large to be recorded, the answer has no body. */
  replay (answer: RecordedAnswer): void {
    if (this.#ended) return
    const keptHeaders = answer.headers.filter(([name]) => answer.body !== undefined || name.toLowerCase() !== 'content-length')
    this.sendHead(answer.status, keptHeaders.flat(), 'served', 'replayed')
    this.options.response.end(answer.body)
  }

  /** Sends the status and the headers of an answer. */
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

  /** Writes a chunk of the body. Returns false if the buffer is full; `onDrain` is called once it has been emptied. */
  write (chunk: Uint8Array, onDrain: () => void): boolean {
    const { response } = this.options
    if (this.#ended || response.destroyed || response.write(chunk)) return true
    this.#onDrain = onDrain
    response.once('drain', onDrain)
    return false
  }

  /** Completes the answer. */
  end (): void {
    if (!this.#ended) this.options.response.end()
  }

  /** Closes the caller's connection, so that the caller can't mistake a truncated answer for a complete one. */
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
    // An attempt that continues after its caller has left must not stay blocked by back pressure.
    this.#onDrain?.()
    if (isComplete) discardRemainingBody(request)
    hop.end({ outcome: end.outcome, reason: end.reason })
    onEnd(this, { ...end, cancelled: end.cancelled && !isComplete })
  }
}
