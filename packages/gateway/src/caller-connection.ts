/**
 * The requests of one caller's connection that have no complete answer yet, in their order. Their answers are sent one after
 * the other, each when the one ahead has been sent completely. This is the only place that decides whether the connection
 * closes: from then on no further request is taken, and the last answer that is still due carries `connection: close`.
 *
 * Requests behind that answer are dropped: they are neither forwarded nor answered, and the caller sends them again.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** A request that was read at least up to the end of its header. */
export interface CallerRequest {
  readonly connection: CallerConnection
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Time at which the header was read, on the monotonic clock. */
  readonly receivedAt: number
  /** `undefined` while the body is incomplete, and without one. */
  body: Buffer | undefined
  /** Bytes of the body that were read. */
  bodyBytes: number
  /** The body is incomplete. */
  isReading: boolean
  /** Time at which the request was added to the intake queue. */
  queuedAt: number
  /** The request was read and waits for answers ahead of it. */
  isHeld: boolean
  /** Whether the request may run more than once; `undefined` until that matters. */
  isRepeatable: boolean | undefined
  /** The request was passed to the engine. */
  isHandled: boolean
  /** The request will not be handled, or its answer will not be sent. */
  isDropped: boolean
  /** Writes the answer; `undefined` until there is one. */
  send: ((extraHeaders: readonly string[]) => void) | undefined
  /** `send` was called. */
  isSending: boolean
  /** Bytes of its answers that are held in memory; `undefined` before there can be any. */
  heldBytes: (() => number) | undefined
  /** Called once: when the answer was sent, the caller has left or the request is dropped. */
  onClosed: ((request: CallerRequest) => void) | undefined
}

export interface CallerConnectionOptions {
  /** Whether connections are to be closed after their next answer. */
  readonly shouldClose: () => boolean
  /** Whether a request may run more than once. */
  readonly isRepeatable: (request: CallerRequest) => boolean
  /** Called for a request that was held, when it may be handled. */
  readonly onReleased: (request: CallerRequest) => void
}

const CLOSE_HEADERS: readonly string[] = ['connection', 'close']
const NO_HEADERS: readonly string[] = []
/**
 * Requests of one connection that are handled at a time. Beyond them the connection is not read, and the requests that one
 * read brought wait, so that one caller can't take all of the instance's time or memory.
 */
export const MAX_OPEN_REQUESTS = 16
/**
 * Longest time for which a connection is read after its last answer, in milliseconds, if requests behind that answer were
 * dropped. The operating system resets a connection that is closed with unread data, and discards what it has not delivered
 * yet. 500 ms cut off large answers to callers that read slowly.
 */
const LINGER_MS = 5_000

function discard (): void {}

export class CallerConnection {
  /** Oldest first. Only the first can be the one that is being sent. */
  readonly #open: CallerRequest[] = []
  readonly #options: CallerConnectionOptions
  #isClosing = false
  /** The answer that closes the connection is being sent. */
  #isLastSent = false
  #isDiscarding = false
  #isLingering = false
  /** Bytes that had been read when the last answer had been sent. */
  #bytesReadAtRest = -1
  #isPaused = false
  /** Sent when no other answer is due. */
  #errorAnswer: string | undefined

  constructor (readonly socket: Socket, options: CallerConnectionOptions) {
    this.#options = options
    socket.once('close', () => {
      for (const request of this.#open.splice(0)) this.#close(request)
    })
  }

  /** Takes a request whose header was read. Returns `undefined` if it is behind the answer that closes the connection. */
  take (request: IncomingMessage, response: ServerResponse, receivedAt: number): CallerRequest | undefined {
    this.#updateClosing()
    if (this.#isClosing && (this.#isLastSent || this.#unsentCount() > 0)) {
      this.#discardInput()
      return undefined
    }
    const taken: CallerRequest = {
      connection: this, request, response, receivedAt, body: undefined, bodyBytes: 0, isReading: false, queuedAt: 0, isHeld: false, isRepeatable: undefined, isHandled: false, isDropped: false, send: undefined, isSending: false, heldBytes: undefined, onClosed: undefined
    }
    this.#open.push(taken)
    if (this.#open.length >= MAX_OPEN_REQUESTS) this.#pause()
    response.once('close', () => this.#remove(taken))
    if (!response.shouldKeepAlive) this.#isClosing = true
    return taken
  }

  /** Whether nothing is due on the connection: no request was begun since the last answer, which the operating system has taken. */
  get isIdle (): boolean {
    return this.#open.length === 0 && !this.#isLastSent && this.socket.writableLength === 0 && this.socket.bytesRead === this.#bytesReadAtRest
  }

  /** Bytes of the answers that are held for the caller. */
  heldBytes (): number {
    let bytes = 0
    for (const request of this.#open) bytes += request.heldBytes?.() ?? 0
    return bytes
  }

  /** Decides that the connection closes. Requests that were not handled are dropped if they are behind an answer that is due. */
  close (): void {
    this.#isClosing = true
    while (this.#unsentCount() > 1) {
      const last = this.#open[this.#open.length - 1]
      if (last.isHandled || last.send !== undefined) return
      this.#dropLast()
    }
  }

  /** Decides that the connection closes after the answer to the request, and drops all requests behind it. */
  closeAfter (request: CallerRequest): void {
    this.#isClosing = true
    while (this.#open.length > 0 && this.#open[this.#open.length - 1] !== request) this.#dropLast()
    if (!request.request.complete) this.#discardInput()
  }

  /**
   * Whether a request that was read may be handled now; otherwise `onReleased` is called later. One that must not run twice
   * waits until the answers ahead of it have been sent, since a close ahead of it makes its caller send it again. The
   * requests behind it wait, too, as its own answer may close the connection.
   */
  mayHandle (request: CallerRequest): boolean {
    request.isHeld = !this.#isFree(request)
    return !request.isHeld
  }

  /** Whether requests behind the request were passed to the engine. */
  hasHandledBehind (request: CallerRequest): boolean {
    return this.#open.findLastIndex(({ isHandled }) => isHandled) > this.#open.indexOf(request)
  }

  /** Sends the answer in its turn. Returns whether that was at once. */
  answer (request: CallerRequest, send: (extraHeaders: readonly string[]) => void): boolean {
    request.send = send
    this.#sendNext()
    return request.isSending
  }

  /** Handles bytes that are no valid request. They get the error answer unless another answer is due that can close the connection. */
  rejectInput (errorAnswer: string): void {
    if (this.#errorAnswer !== undefined) return
    this.#errorAnswer = errorAnswer
    const last = this.#open.at(-1)
    if (last?.isReading === true && last.send === undefined) this.#dropLast()
    this.close()
    if (this.#open.length > 0) this.#discardInput()
    this.#endIfRejected()
  }

  /** Passes the connection's `drain` on to the answer that is being sent, if Node no longer does. */
  continueSending (): void {
    const first = this.#open.at(0)
    if (first?.isSending === true) first.response.emit('drain')
  }

  #isFree (request: CallerRequest): boolean {
    if (this.#open[0] === request) return true
    const { isRepeatable } = this.#options
    for (const ahead of this.#open.slice(0, MAX_OPEN_REQUESTS)) {
      ahead.isRepeatable ??= isRepeatable(ahead)
      if (!ahead.isRepeatable) return false
      if (ahead === request) return true
    }
    return false
  }

  #releaseHeld (): void {
    for (const request of this.#open.slice(0, MAX_OPEN_REQUESTS)) {
      if (request.isHeld && this.mayHandle(request)) this.#options.onReleased(request)
    }
  }

  /** Number of requests whose answer's header was not written. */
  #unsentCount (): number {
    return this.#open.length - (this.#open.length > 0 && this.#open[0].isSending ? 1 : 0)
  }

  #updateClosing (): void {
    if (!this.#isClosing && this.#options.shouldClose()) this.close()
  }

  #sendNext (): void {
    const first = this.#open.at(0)
    if (first?.send === undefined || first.isSending) return
    this.#updateClosing()
    first.isSending = true
    this.#isLastSent = this.#isClosing && this.#open.length === 1
    if (this.#isLastSent && first.response.shouldKeepAlive) this.#lingerAtEnd()
    // Node adds the header itself if the caller asked for the end of the connection.
    first.send(this.#isLastSent && first.response.shouldKeepAlive ? CLOSE_HEADERS : NO_HEADERS)
  }

  #remove (request: CallerRequest): void {
    const index = this.#open.indexOf(request)
    if (index < 0) return
    this.#open.splice(index, 1)
    this.#close(request)
    if (this.socket.destroyed) return
    if (this.#open.length === 0) this.#bytesReadAtRest = this.socket.bytesRead
    this.#sendNext()
    this.#releaseHeld()
    if (this.#isPaused && this.#open.length < MAX_OPEN_REQUESTS) this.#resume()
    this.#endIfRejected()
  }

  #dropLast (): void {
    const last = this.#open.pop()
    if (last === undefined) return
    this.#close(last)
    this.#discardInput()
  }

  #close (request: CallerRequest): void {
    request.isDropped = true
    const { onClosed } = request
    request.onClosed = undefined
    onClosed?.(request)
  }

  /**
   * Stops reading the connection. What was read already is still parsed. Node resumes reading after each request, and one
   * tick after the start of a body that is incomplete, so the pause begins after both.
   */
  #pause (): void {
    if (this.#isPaused && this.socket.isPaused()) return
    this.#isPaused = true
    setImmediate(() => {
      if (this.#isPaused) this.socket.pause()
    })
  }

  #resume (): void {
    this.#isPaused = false
    this.socket.resume()
  }

  #endIfRejected (): void {
    if (this.#errorAnswer === undefined || this.#isLastSent || this.#open.length > 0) return
    this.#isLastSent = true
    if (this.socket.writable) this.socket.write(this.#errorAnswer)
    this.socket.destroySoon()
  }

  /** Reads the input to its end without parsing it, and keeps doing so for a while after the last answer. */
  #discardInput (): void {
    if (this.#isDiscarding) return
    this.#isDiscarding = true
    const { socket } = this
    this.#isPaused = false
    // The parser may be running right now.
    process.nextTick(() => {
      socket.removeAllListeners('data')
      socket.on('data', discard)
      socket.resume()
    })
    this.#lingerAtEnd()
  }

  /** Keeps reading for a while after the last answer, as the caller may send requests until it has received it. */
  #lingerAtEnd (): void {
    if (this.#isLingering) return
    this.#isLingering = true
    const { socket } = this
    // Node calls it after the answer with `connection: close`.
    socket.destroySoon = () => {
      socket.end()
      if (socket.readableEnded) {
        socket.destroy()
        return
      }
      const timer = setTimeout(() => socket.destroy(), LINGER_MS)
      socket.once('end', () => socket.destroy())
      socket.once('close', () => clearTimeout(timer))
    }
  }
}
