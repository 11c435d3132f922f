/**
 * One upstream's answer to a request. It is buffered, so that an answer that breaks off can be replaced by that of another
 * attempt; only an answer larger than the buffer is streamed to the caller.
 */
import type { AnswerMemory } from './answer-memory.js'
import type { ServerResponse } from 'node:http'
import { Socket } from 'node:net'
import { setAbortiveClose } from './abortive-close.js'
import { PieceBuffer } from './piece-buffer.js'

/** Size above which an answer is streamed instead of buffered completely. */
export const ANSWER_BUFFER_BYTES = 262_144
/** Size up to which the operating system takes a complete answer at once, whatever the state of the connection. */
const SINGLE_WRITE_BYTES = 16_384

export interface AnswerOptions {
  readonly status: number
  readonly headers: readonly string[]
  /**
   * The answer has no stated length and ends when the connection closes. A truncated answer looks the same, so it is
   * relayed without a length, too. While it is relayed, the end of this process resets the caller's connection.
   */
  readonly isCloseDelimited: boolean
  readonly memory: AnswerMemory
  /** Pauses and resumes reading the answer while it is streamed. */
  readonly pause: () => void
  readonly resume: () => void
  /** Called when the caller's connection closes before the end. */
  readonly onAbandoned: () => void
}

export class Answer {
  readonly #pieces = new PieceBuffer()
  /** Bytes that are counted in the memory of all answers. */
  #countedBytes = 0
  #isComplete = false
  #isFlushScheduled = false
  /** The operating system may not take the answer at once. */
  #isLarge = false
  /** Closing the caller's connection resets it. */
  #isAbortive = false
  #isHeld = false
  #isPaused = false
  #hasFailed = false
  #response: ServerResponse | undefined

  constructor (readonly options: AnswerOptions) {}

  get status (): number {
    return this.options.status
  }

  /** Whether it is being sent to the caller, or will be. */
  get isRelayed (): boolean {
    return this.#response !== undefined || this.#isHeld
  }

  /** Whether it broke off. */
  get hasFailed (): boolean {
    return this.#hasFailed
  }

  /** Bytes of it that are held in memory. */
  get heldBytes (): number {
    return this.#countedBytes
  }

  /** Whether it is too large to be buffered, alone or together with the others. */
  get exceedsBuffer (): boolean {
    return this.#pieces.bytes > ANSWER_BUFFER_BYTES || this.options.memory.isFull
  }

  write (piece: Buffer): void {
    this.#pieces.push(piece)
    this.#count(piece.length)
    if (this.#response === undefined || this.#isFlushScheduled) return
    // A read may bring thousands of pieces; they are written together.
    this.#isFlushScheduled = true
    queueMicrotask(() => {
      this.#isFlushScheduled = false
      this.#flush()
    })
  }

  end (): void {
    this.#isComplete = true
    if (this.#response === undefined) return
    this.#flush()
    this.#endResponse(this.#response)
  }

  /**
   * Handles an answer that broke off: if it is being streamed, closes the caller's connection. That of an answer without a
   * length is abortive by then, since it looks complete at a regular end.
   */
  fail (): void {
    // Not `resetAndDestroy`, which ends the connection regularly before it resets it.
    this.#hasFailed = true
    this.#response?.destroy()
    this.discard()
  }

  /** Keeps an answer that will be relayed later. If it is incomplete, it is not read until then. */
  hold (): void {
    this.#isHeld = true
    if (!this.#isComplete) this.#pause()
  }

  /** Releases the body of an answer whose caller has left, and stops reading it if it was to be relayed. */
  abandon (): void {
    if (this.#isHeld && this.#response === undefined && !this.#isComplete) this.options.onAbandoned()
    this.discard()
  }

  /** Releases the body of an answer that will not be relayed. */
  discard (): void {
    this.#pieces.take()
    this.#count(-this.#countedBytes)
  }

  relay (response: ServerResponse, extraHeaders: readonly string[]): void {
    const { status, isCloseDelimited, onAbandoned } = this.options
    this.#response = response
    this.#isLarge = !this.#isComplete || this.#pieces.bytes > SINGLE_WRITE_BYTES
    const headers = [...this.options.headers, ...extraHeaders]
    if (isCloseDelimited) {
      this.#isAbortive = this.#isLarge && response.socket instanceof Socket && setAbortiveClose(response.socket, true)
      // Without that option only chunks can show the end of this process.
      if (!this.#isLarge || this.#isAbortive) response.useChunkedEncodingByDefault = false
      if (!extraHeaders.includes('connection')) headers.push('connection', 'close')
    }
    response.once('close', () => {
      if (!this.#isComplete) onAbandoned()
      this.discard()
    })
    if (!this.#isComplete) {
      response.writeHead(status, headers)
      return this.#flush()
    }
    const hasLength = headers.some((name, index) => index % 2 === 0 && name === 'content-length')
    if (!hasLength && !isCloseDelimited && status !== 204 && status !== 304) headers.push('content-length', String(this.#pieces.bytes))
    response.writeHead(status, headers)
    if (this.#isLarge) {
      this.#flush()
      return this.#endResponse(response)
    }
    const blocks = this.#pieces.take()
    response.end(blocks.length === 1 ? blocks[0] : Buffer.concat(blocks))
  }

  /**
   * Ends the response of a large answer once the operating system has taken all of it. Node counts a connection as idle from
   * the call of `end` on, so it could be closed with data unsent. An abortive connection becomes a usual one.
   */
  #endResponse (response: ServerResponse): void {
    response.write('', error => {
      if (error != null) return
      if (this.#isAbortive && response.socket instanceof Socket) setAbortiveClose(response.socket, false)
      response.end()
    })
  }

  /** Writes what was read to the caller, and pauses reading if the caller does not keep up. */
  #flush (): void {
    const response = this.#response
    if (response === undefined) return
    let mayWriteMore = true
    for (const block of this.#pieces.take()) mayWriteMore = response.write(block)
    if (mayWriteMore) {
      this.#count(-this.#countedBytes)
      return this.#resume()
    }
    this.#pause()
    response.once('drain', () => {
      this.#count(-this.#countedBytes)
      this.#resume()
    })
  }

  #pause (): void {
    this.#isPaused = true
    this.options.pause()
  }

  #resume (): void {
    if (!this.#isPaused) return
    this.#isPaused = false
    this.options.resume()
  }

  #count (bytes: number): void {
    this.#countedBytes += bytes
    this.options.memory.add(bytes)
  }
}
