/**
 * One upstream's answer to a request. It is buffered, so that an answer that breaks off can be replaced by that of another
 * attempt; only an answer larger than the buffer is streamed to the caller.
 */
import type { ServerResponse } from 'node:http'

/** Size above which an answer is streamed instead of buffered completely. */
export const ANSWER_BUFFER_BYTES = 262_144

export class Answer {
  readonly #chunks: Buffer[] = []
  #bytes = 0
  #complete = false
  #response: ServerResponse | undefined

  /**
   * `isCloseDelimited`: the answer has no stated length and ends when the connection closes. A truncated answer looks
   * the same, so it is relayed without a length, too. `onAbandoned`: the caller's connection closed before the end.
   */
  constructor (
    readonly status: number, readonly headers: readonly string[], readonly isCloseDelimited: boolean, readonly onAbandoned: () => void
  ) {}

  /**
   * Adds a chunk. Returns false if reading should pause. While streaming, `onDrain` is called when it may resume; when
   * the answer exceeds the buffer before it is relayed, the caller of `write` must resume reading itself.
   */
  write (chunk: Buffer, onDrain: () => void): boolean {
    if (this.#response === undefined) {
      this.#chunks.push(Buffer.from(chunk))
      this.#bytes += chunk.length
      return this.#bytes <= ANSWER_BUFFER_BYTES
    }
    if (this.#response.write(chunk)) return true
    this.#response.once('drain', onDrain)
    return false
  }

  get exceedsBuffer (): boolean {
    return this.#bytes > ANSWER_BUFFER_BYTES
  }

  end (): void {
    this.#complete = true
    this.#response?.end()
  }

  /** Handles an answer that broke off: if it is being streamed, destroys the caller's connection so that it does not look complete. */
  fail (): void {
    this.#response?.destroy()
  }

  relay (response: ServerResponse, extraHeaders: readonly string[]): void {
    this.#response = response
    const headers = [...this.headers, ...extraHeaders]
    if (this.isCloseDelimited) {
      response.useChunkedEncodingByDefault = false
      if (!extraHeaders.includes('connection')) headers.push('connection', 'close')
    }
    if (!this.#complete) {
      response.once('close', () => { if (!this.#complete) this.onAbandoned() })
      response.writeHead(this.status, headers)
      for (const chunk of this.#chunks) response.write(chunk)
      return
    }
    const hasLength = headers.some((name, index) => index % 2 === 0 && name === 'content-length')
    if (!hasLength && !this.isCloseDelimited && this.status !== 204 && this.status !== 304) headers.push('content-length', String(this.#bytes))
    response.writeHead(this.status, headers)
    response.end(this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks))
  }
}
