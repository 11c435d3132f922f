/**
 * Handles the undici callbacks of one attempt to execute a request at an upstream or at another entry instance, and
 * turns them into events of the engine. Each attempt emits at most one of `attempt-refused`, `attempt-finished` and
 * `attempt-failed`.
 */
import type { AttemptRefused, Headroom, Reason, RecordedAnswer } from '@arbutustray/core'
import { REASONS } from '@arbutustray/core'
import type { Hop, Telemetry } from '@arbutustray/telemetry'
import type { Dispatcher } from 'undici'
import type { Emit } from './event-queue.js'
import type { CallerExchange } from './caller-exchange.js'
import { firstValue } from '@arbutustray/http'
import { HEADER, filterAnswerHeaders } from './headers.js'
import { parseHeadroom } from './headroom-header.js'

/** Largest answer body that is recorded under an idempotency key, in bytes. */
export const MAX_RECORDED_BODY_BYTES = 4_096

/** Bytes of a refused answer that are read and discarded to keep its connection open. */
const MAX_DISCARDED_BYTES = 65_536

export interface AttemptTarget {
  readonly type: 'upstream' | 'instance'
  readonly id: string
}

export interface AttemptHandlerOptions {
  readonly attemptId: string
  readonly exchange: CallerExchange
  readonly target: AttemptTarget
  /** Lower-case name of the header by which an upstream marks an answer as a refusal. */
  readonly refusalHeader: string
  readonly hop: Hop
  /** Time until the deadline, in milliseconds. */
  readonly timeoutMs: number
  readonly emit: Emit
  readonly telemetry: Telemetry
  /** Called once, before the last event of the attempt is emitted. */
  readonly onEnd: () => void
}

type AnswerHeaders = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2]

/** Result of an attempt, as far as the status and the headers of its answer show it. */
type AnswerClass = 'answered' | 'refused' | 'failed'

type RefusalDetails = Pick<AttemptRefused, 'leaving' | 'reason' | 'headroom'>

/** Dispatch handler of one attempt. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly #deadlineAt: number
  #controller: Dispatcher.DispatchController | undefined
  #cancelled = false
  #ended = false
  #status = 0
  #headers: string[] = []
  #relayed = false
  #discardedBytes = 0
  #recordedChunks: Uint8Array[] | undefined
  #recordedBytes = 0
  #resume: (() => void) | undefined

  constructor (readonly options: AttemptHandlerOptions) {
    this.#deadlineAt = performance.now() + options.timeoutMs
    if (options.exchange.options.hasIdempotencyKey) this.#recordedChunks = []
  }

  /** undici calls this immediately before it writes the request; an abort inside it prevents the write. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#cancelled) return controller.abort(new Error('cancelled'))
    // A process that was suspended while connecting must not send a request whose deadline has passed.
    if (performance.now() > this.#deadlineAt) return controller.abort(new Error('deadline passed before the write'))
    // undici doesn't repeat a request on a connection without pipelining, but the protection against a second execution
    // must not depend on that.
    if (this.#controller !== undefined) return controller.abort(new Error('request would be written twice'))
    this.#controller = controller
    this.options.emit({ type: 'attempt-written', attemptId: this.options.attemptId })
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
    if (status < 200 || this.#ended) return
    const { attemptId, exchange, target, telemetry, emit } = this.options
    if (headers[HEADER.requestId] !== exchange.options.forwardedRequestId) {
      telemetry.metrics.increment('arbutustray_dropped_answers_total', { target: target.type })
      telemetry.log('answer-dropped', { requestId: exchange.options.requestId, attemptId, target: target.id })
      return this.#failAndAbort(controller, 'x-request-id of the answer belongs to another request')
    }
    const leaving = target.type === 'upstream' && isHeaderSet(headers[HEADER.leaving]) ? { leaving: true } : {}
    const answerClass = this.#classify(status, headers)
    if (answerClass === 'failed') return this.#failAndAbort(controller, 'peer did not answer with the outcome served or not-run', readReason(headers))
    const headroom = this.#readHeadroom(headers)
    if (answerClass === 'refused') return this.#refuse('shed', { ...leaving, ...headroom, ...readReason(headers) })
    this.#status = status
    this.#headers = filterAnswerHeaders(headers)
    emit({ type: 'attempt-answered', attemptId, status, ...leaving, ...headroom })
    if (!this.#relayed && !this.#ended) controller.pause()
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#ended) {
      this.#discardedBytes += chunk.length
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) controller.abort(new Error('body of a refused answer is too long'))
      return
    }
    if (this.#recordedChunks !== undefined) this.#record(chunk)
    this.#resume ??= () => controller.resume()
    if (!this.options.exchange.write(chunk, this.#resume)) controller.pause()
  }

  onResponseEnd (): void {
    if (this.#ended) return
    this.options.exchange.end()
    this.#end('finished')
    const recorded = this.#recordedAnswer()
    this.options.emit({
      type: 'attempt-finished', attemptId: this.options.attemptId, ...(recorded === undefined ? {} : { recorded })
    })
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    if (this.#ended) return
    if (this.#controller === undefined) return this.#refuse('not-written', {})
    this.#fail(error.message, this.#status !== 0, {})
  }

  /** Starts to relay the answer to the caller. */
  relay (reason: Reason): void {
    if (this.#relayed || this.#ended) return
    this.#relayed = true
    this.options.exchange.sendHead(this.#status, this.#headers, 'served', reason)
    this.#controller?.resume()
  }

  /** Aborts the attempt without emitting an event. */
  cancel (): void {
    if (this.#ended) return
    this.#cancelled = true
    this.#end('cancelled')
    this.#controller?.abort(new Error('cancelled'))
  }

  #readHeadroom (headers: AnswerHeaders): { readonly headroom?: Headroom } {
    if (this.options.target.type !== 'instance') return {}
    const headroom = parseHeadroom(this.options.exchange.options.service, firstValue(headers[HEADER.headroom]))
    return headroom === undefined ? {} : { headroom }
  }

  #classify (status: number, headers: AnswerHeaders): AnswerClass {
    if (this.options.target.type === 'upstream') {
      return status === 503 && isHeaderSet(headers[this.options.refusalHeader]) ? 'refused' : 'answered'
    }
    const outcome = headers[HEADER.outcome]
    if (outcome === 'not-run') return 'refused'
    return outcome === 'served' ? 'answered' : 'failed'
  }

  #refuse (proof: 'not-written' | 'shed', details: RefusalDetails): void {
    const { attemptId, exchange, target, telemetry, emit } = this.options
    const { body, requestId } = exchange.options
    this.#end('refused')
    telemetry.log('attempt-refused', { requestId, attemptId, target: target.id, proof })
    const bodyConsumed = body.type === 'streamed' && body.isConsumed()
    emit({ type: 'attempt-refused', attemptId, proof, ...details, ...(bodyConsumed ? { bodyConsumed } : {}) })
  }

  #fail (error: string, truncated: boolean, details: { readonly reason?: Reason }): void {
    const { attemptId, exchange, target, telemetry, emit } = this.options
    this.#end('failed')
    telemetry.log('attempt-failed', { requestId: exchange.options.requestId, attemptId, target: target.id, error, truncated })
    emit({ type: 'attempt-failed', attemptId, truncated, ...details })
  }

  #failAndAbort (controller: Dispatcher.DispatchController, error: string, details: { readonly reason?: Reason } = {}): void {
    this.#fail(error, false, details)
    controller.abort(new Error(error))
  }

  #end (end: 'finished' | 'refused' | 'failed' | 'cancelled'): void {
    this.#ended = true
    const { target, hop, telemetry, onEnd } = this.options
    telemetry.metrics.increment('arbutustray_attempts_total', { target: target.type, end })
    hop.end({ target: target.id, end, status: this.#status })
    onEnd()
  }

  #record (chunk: Uint8Array): void {
    if (this.#recordedChunks === undefined) return
    this.#recordedBytes += chunk.length
    if (this.#recordedBytes > MAX_RECORDED_BODY_BYTES) this.#recordedChunks = []
    else this.#recordedChunks.push(Uint8Array.from(chunk))
  }

  #recordedAnswer (): RecordedAnswer | undefined {
    if (this.#recordedChunks === undefined) return undefined
    const headers: Array<readonly [string, string]> = []
    for (let index = 0; index + 1 < this.#headers.length; index += 2) {
      headers.push([this.#headers[index], this.#headers[index + 1]])
    }
    const isComplete = this.#recordedBytes <= MAX_RECORDED_BODY_BYTES
    return { status: this.#status, headers, ...(isComplete ? { body: Buffer.concat(this.#recordedChunks) } : {}) }
  }
}

/** Whether a boolean header is present with any value but `0` and `false`. */
function isHeaderSet (value: string | string[] | undefined): boolean {
  return value !== undefined && value !== '0' && value !== 'false'
}

/** The reason in a peer's answer, if it is one of `REASONS`. */
function readReason (headers: AnswerHeaders): { readonly reason?: Reason } {
  const reason = headers[HEADER.reason]
  return typeof reason === 'string' && reason in REASONS ? { reason: reason as Reason } : {}
}
