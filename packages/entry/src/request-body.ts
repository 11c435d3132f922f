/**
 * Reads the body of a caller's request. A small body is buffered before the request is passed to the engine: it can
 * then be sent more than once, and a slow client occupies no slot of an upstream. A larger body is streamed to one
 * attempt with back pressure and can't be sent again.
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

/** Largest body that is buffered for retries and hedges, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1_024

/** Source of the body for the attempts of a request. */
export type RequestBody =
  | { readonly type: 'none' }
  | { readonly type: 'buffered', readonly bytes: Buffer }
  | StreamedBody

export interface StreamedBody {
  readonly type: 'streamed'
  /** Value of `content-length`, if present. */
  readonly length: number | undefined
  /** Whether an attempt has read a part of the body, so that no other attempt can send it. */
  readonly isConsumed: () => boolean
  /** Opens the stream for one attempt. Destroying it leaves the caller's connection open for the answer. */
  readonly openStream: () => Readable
}

/** Why a body could not be read. */
export type BodyReadError = 'too-large' | 'closed' | 'too-slow'

export interface ReadBodyOptions {
  readonly maxBytes: number
  /** Time in which a buffered body must arrive completely, in milliseconds. */
  readonly bufferTimeoutMs: number
  /** Called once, synchronously if the request has no body. */
  readonly onBody: (body: RequestBody) => void
  /** Called at most once; also after `onBody` when a streamed body turns out to be too large. */
  readonly onError: (error: BodyReadError) => void
}

const NO_BODY: RequestBody = { type: 'none' }

/** Time after the answer in which a caller can finish sending its body before it is disconnected, in milliseconds. */
const LINGERING_CLOSE_MS = 2_000

/**
 * Reads and discards the rest of a body after the answer was sent. Closing the connection at once would reset it, and
 * the caller could lose the answer.
 */
export function discardRemainingBody (request: IncomingMessage): void {
  if (request.complete || request.destroyed) return
  request.resume()
  setTimeout(() => { if (!request.complete) request.destroy() }, LINGERING_CLOSE_MS).unref()
}

/** Buffers a small body or prepares the stream of a large one, and passes the result to `onBody` or `onError`. */
export function readBody (request: IncomingMessage, options: ReadBodyOptions): void {
  const contentLength = request.headers['content-length']
  const length = contentLength === undefined ? undefined : Number(contentLength)
  if (length === undefined && request.headers['transfer-encoding'] === undefined) return options.onBody(NO_BODY)
  if (length === 0) return options.onBody(NO_BODY)
  if (length !== undefined && length > options.maxBytes) return options.onError('too-large')
  if (length !== undefined && length > MAX_BUFFERED_BODY_BYTES) return options.onBody(streamBody(request, [], length, options))
  bufferBody(request, length, options)
}

/** Buffers the body, or switches to streaming when a body of unknown length exceeds the buffer limit. */
function bufferBody (request: IncomingMessage, length: number | undefined, options: ReadBodyOptions): void {
  const chunks: Buffer[] = []
  let size = 0
  const removeListeners = (): void => {
    clearTimeout(timer)
    request.off('data', onData).off('end', onEnd).off('close', onClose)
  }
  const fail = (error: BodyReadError): void => {
    removeListeners()
    options.onError(error)
  }
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk)
    size += chunk.length
    if (size > options.maxBytes) return fail('too-large')
    if (size <= MAX_BUFFERED_BODY_BYTES) return
    removeListeners()
    request.pause()
    options.onBody(streamBody(request, chunks, length, options))
  }
  const onEnd = (): void => {
    removeListeners()
    options.onBody(size === 0 ? NO_BODY : { type: 'buffered', bytes: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) })
  }
  const onClose = (): void => fail('closed')
  const timer = setTimeout(() => fail('too-slow'), options.bufferTimeoutMs)
  request.on('data', onData).on('end', onEnd).on('close', onClose)
}

function streamBody (
  request: IncomingMessage, firstChunks: readonly Buffer[], length: number | undefined, options: ReadBodyOptions
): StreamedBody {
  let isConsumed = false
  let size = firstChunks.reduce((sum, chunk) => sum + chunk.length, 0)

  function openStream (): Readable {
    const stream = new Readable({
      read () {
        if (!isConsumed) {
          isConsumed = true
          for (const chunk of firstChunks) this.push(chunk)
        }
        request.resume()
      },
      destroy (error, done) {
        request.off('data', onData).off('end', onEnd).off('close', onClose)
        // If an attempt was refused before it read anything, the body stays available for the next attempt.
        if (isConsumed) request.resume()
        done(error)
      }
    })
    // undici removes its error listener at the end of the attempt; a later error would end the process.
    stream.on('error', () => {})
    const onData = (chunk: Buffer): void => {
      size += chunk.length
      if (size > options.maxBytes) {
        stream.destroy(new Error('request body exceeds the limit'))
        return options.onError('too-large')
      }
      if (!stream.push(chunk)) request.pause()
    }
    const onEnd = (): void => { stream.push(null) }
    const onClose = (): void => { if (!request.readableEnded) stream.destroy(new Error('caller closed the connection before the end of the request body')) }
    request.on('data', onData).on('end', onEnd).on('close', onClose)
    request.pause()
    return stream
  }

  return { type: 'streamed', length, isConsumed: () => isConsumed, openStream }
}
