/**
 * undici handler for one attempt to send a request to an upstream: turns undici's callbacks into engine events. Each
 * attempt that is not cancelled emits exactly one of `attempt-refused`, `attempt-answered` and `attempt-broken`, except that
 * a large answer that breaks off after `attempt-answered` also emits `attempt-broken`.
 */
import type { AttemptBroken, AttemptRefused, Dispatch, SteeringEvent, UpstreamStatements } from '@arbutustray/steering'
import type { Dispatcher } from 'undici'
import type { AnswerMemory } from './answer-memory.js'
import type { Dialect } from './dialect.js'
import type { HttpExchange } from './http-exchange.js'
import { firstValue } from '@arbutustray/http'
import { Answer } from './answer.js'
import { filterAnswerHeaders } from './message-headers.js'
import { parseStatements } from './parse-statements.js'

type AnswerHeaders = Parameters<NonNullable<Dispatcher.DispatchHandler['onResponseStart']>>[2]

/** How an attempt ended, as logged and counted in the metrics. */
export type AttemptEnd = 'finished' | 'refused' | 'failed' | 'cancelled'

export interface AttemptHandlerOptions {
  readonly command: Dispatch
  readonly exchange: HttpExchange
  readonly dialect: Dialect
  readonly answerMemory: AnswerMemory
  readonly emit: (event: SteeringEvent) => void
  /** Whether the end of a connection that was reset is being handled right now. */
  readonly isHandlingReset: () => boolean
  /** Called once. */
  readonly onEnd: (end: AttemptEnd, detail: string) => void
}

/** Maximum size of the body of an answer that refuses a request; it is read and discarded to keep the connection reusable. */
const MAX_DISCARDED_BYTES = 65_536
const MIN_FINAL_STATUS = 200
const MAX_SUCCESS_STATUS = 299
/** Maximum number of interim answers (status 1xx) before the answer; they are not relayed. */
const MAX_INTERIM_ANSWERS = 16
/** Code of undici's error for a request that it can't write. */
const INVALID_REQUEST_CODE = 'UND_ERR_INVALID_ARG'
/** Statuses whose answers have no body. */
const STATUSES_WITHOUT_BODY: ReadonlySet<number> = new Set([204, 304])

export class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly #expiresAt: number
  #controller: Dispatcher.DispatchController | undefined
  #answer: Answer | undefined
  #statements: UpstreamStatements = {}
  #isAnswerEmitted = false
  /** The request's time was up before it was written. */
  #isExpired = false
  #streamTimer: NodeJS.Timeout | undefined
  /** The attempt was answered completely, refused, failed or cancelled. What remains of a refusal is read and discarded. */
  #ended = false
  #discardedBytes = 0
  #interimAnswers = 0

  constructor (readonly options: AttemptHandlerOptions) {
    this.#expiresAt = performance.now() + options.command.timeoutMs
  }

  /** undici calls this immediately before it writes the request; aborting here prevents the write. */
  onRequestStart (controller: Dispatcher.DispatchController): void {
    if (this.#ended) return controller.abort(new Error('cancelled'))
    // The process may have been paused while it connected; an expired request must not be sent.
    if (performance.now() > this.#expiresAt) {
      this.#isExpired = true
      return controller.abort(new Error('expired before the write'))
    }
    // undici writes a request again if its idle connection closes during the write; the first write may have arrived.
    if (this.#controller !== undefined) return controller.abort(new Error('second write'))
    this.#controller = controller
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
    if (this.#ended) return
    if (status < MIN_FINAL_STATUS) return this.#countInterimAnswer(controller)
    const { dialect, exchange } = this.options
    const headerNames = dialect.headers
    const echoedRequestId = firstValue(headers[headerNames.requestId])
    this.#statements = parseStatements(status, headers, dialect)
    if (status === dialect.misdirectedStatus) return this.#emitRefused('misdirected')
    if (headers[headerNames.notRun] !== undefined && (echoedRequestId === undefined || echoedRequestId === exchange.callerRequestId)) return this.#emitRefused('shed')
    if (echoedRequestId !== exchange.callerRequestId) return this.#emitBroken('crossed', controller)
    // A success without the marker header was not produced by an upstream. One with an encoded body is not accepted either.
    const isSuccess = status <= MAX_SUCCESS_STATUS
    if (isSuccess && (headers[headerNames.signature] === undefined || headers['content-encoding'] !== undefined)) {
      return this.#emitBroken('garbled', controller)
    }
    const hasKnownEnd = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined || STATUSES_WITHOUT_BODY.has(status) ||
      exchange.request.method === 'HEAD'
    this.#answer = new Answer({
      status,
      headers: filterAnswerHeaders(headers),
      isCloseDelimited: !hasKnownEnd,
      memory: this.options.answerMemory,
      pause: () => controller.pause(),
      resume: () => controller.resume(),
      onAbandoned: () => this.#abandon()
    })
    exchange.answers.set(this.options.command.attemptId, this.#answer)
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const answer = this.#answer
    if (answer === undefined) {
      this.#discardedBytes += chunk.length
      if (this.#discardedBytes > MAX_DISCARDED_BYTES) controller.abort(new Error('refused answer is too long'))
      return
    }
    answer.write(chunk)
    if (answer.exceedsBuffer && !this.#isAnswerEmitted) {
      // `emit` normally calls `Answer.relay` synchronously, which pauses reading if the caller does not keep up.
      this.#emitAnswered(answer)
      this.#limitStream(answer)
      if (!answer.isRelayed) this.#abort('large answer that is not relayed')
    }
  }

  onResponseEnd (): void {
    const answer = this.#answer
    if (this.#ended || answer === undefined) return
    if (answer.options.isCloseDelimited && this.options.isHandlingReset()) {
      answer.fail()
      return this.#emitBroken('reset', undefined, 'reset before the end of an answer without a length')
    }
    answer.end()
    this.#end('finished', String(answer.status))
    this.#emitAnswered(answer)
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, error: Error): void {
    if (this.#ended) return
    this.#answer?.fail()
    const code = (error as { readonly code?: unknown }).code
    if (this.#controller === undefined) return this.#emitRefused(this.#unsentCause(code), error.message)
    this.#emitBroken(typeof code === 'string' && code.startsWith('HPE_') ? 'garbled' : 'reset', undefined, error.message)
  }

  #countInterimAnswer (controller: Dispatcher.DispatchController): void {
    this.#interimAnswers += 1
    if (this.#interimAnswers > MAX_INTERIM_ANSWERS) this.#emitBroken('garbled', controller, 'too many interim answers')
  }

  /** Why the attempt ended before its first byte was written. */
  #unsentCause (code: unknown): AttemptRefused['cause'] {
    if (this.#isExpired) return 'unsent'
    return code === INVALID_REQUEST_CODE ? 'unsendable' : 'unreachable'
  }

  /** Ends the attempt without an event. */
  cancel (): void {
    this.#abort('cancelled')
  }

  /** The caller closed its connection during the answer, which would otherwise be read to its end, if it has one. */
  #abandon (): void {
    this.#abort('caller left during the answer')
  }

  /** Breaks off an answer that is still being sent when the request's time is up. */
  #limitStream (answer: Answer): void {
    this.#streamTimer = setTimeout(() => {
      answer.fail()
      this.#abort('time was up during the answer')
    }, Math.max(0, this.#expiresAt - performance.now()))
  }

  #abort (detail: string): void {
    if (this.#ended) return
    this.#end('cancelled', detail)
    this.#controller?.abort(new Error(detail))
  }

  #emitAnswered (answer: Answer): void {
    if (this.#isAnswerEmitted) return
    this.#isAnswerEmitted = true
    const { command, emit, exchange: { callerRequest } } = this.options
    const cutsOffOthers = answer.options.isCloseDelimited && callerRequest.connection.hasHandledBehind(callerRequest)
    emit({ type: 'attempt-answered', attemptId: command.attemptId, status: answer.status, isPartial: !this.#ended, cutsOffOthers, ...this.#statements })
  }

  #emitRefused (cause: AttemptRefused['cause'], detail: string = cause): void {
    const { command, emit } = this.options
    this.#end('refused', detail)
    emit({ type: 'attempt-refused', attemptId: command.attemptId, cause, ...this.#statements })
  }

  #emitBroken (cause: AttemptBroken['cause'], controller?: Dispatcher.DispatchController, detail: string = cause): void {
    const { command, emit } = this.options
    this.#end('failed', detail)
    emit({ type: 'attempt-broken', attemptId: command.attemptId, cause, isLeaving: this.#statements.isLeaving === true })
    controller?.abort(new Error(detail))
  }

  #end (end: AttemptEnd, detail: string): void {
    this.#ended = true
    clearTimeout(this.#streamTimer)
    // Nothing else releases an answer whose caller has left.
    if (end !== 'finished' || this.options.exchange.isClosed) this.#answer?.discard()
    this.options.onEnd(end, detail)
  }
}
