/**
 * One upstream's answer: collected first, so that an answer that breaks off can be replaced, and passed on in pieces
 * only when it is larger than the buffer.
 */
import type { ServerResponse } from 'node:http'

/** Bytes of an answer that are collected before it is passed on in pieces. */
export const ANSWER_BUFFER_BYTES = 262_144

export class Answer {
  readonly #chunks: Buffer[] = []
  #bytes = 0
  #complete = false
  #response: ServerResponse | undefined

  /**
   * `endsWithConnection`: the upstream stated no length. Whether such an answer is whole can't be told, so it is passed
   * on in the same way and never with a length.
   */
  constructor (readonly status: number, readonly headers: readonly string[], readonly isCloseDelimited: boolean) {}

  /** Adds bytes. Returns whether more may be read now. */
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

  /** The upstream broke off; an answer that is being passed on must not look complete. */
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
