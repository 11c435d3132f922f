/**
 * The body of a caller's request. A small body is read whole before the request enters the engine: it can then be
 * sent more than once, and a slow client holds no slot while it sends. A longer body is streamed to one attempt with
 * back pressure and can't be sent again.
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

/** Largest body that is kept for retries and hedges, in bytes. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1_024

/** The body as the attempts see it. */
export type RequestBody =
  | { readonly type: 'none' }
  | { readonly type: 'buffered', readonly bytes: Buffer }
  | StreamedBody

export interface StreamedBody {
  readonly type: 'streamed'
  /** Length in bytes, when stated. */
  readonly length: number | undefined
  /** A part was read for an attempt, so no other attempt can send the body. */
  readonly isConsumed: () => boolean
  /** The stream for one attempt. Destroying it leaves the caller's connection open for the answer. */
  readonly openStream: () => Readable
}

/** Why a body was not read. */
export type BodyReadError = 'too-large' | 'closed' | 'too-slow'

export interface ReadBodyOptions {
  readonly maxBytes: number
  /** Time in which a body that is buffered must arrive, in milliseconds. */
  readonly bufferTimeoutMs: number
  /** Called once, synchronously if the request has no body. */
  readonly onBody: (body: RequestBody) => void
  /** Called at most once; also after `onBody` when a streamed body turns out to be too large. */
  readonly onError: (error: BodyReadError) => void
}

const NO_BODY: RequestBody = { type: 'none' }

/** Time in which a caller may finish sending a body that is no longer needed, in milliseconds. */
const LINGERING_CLOSE_MS = 2_000

/**
 * Discards what is left of a body after the answer was sent. Closing at once would reset the connection, and the
 * caller could lose the answer.
 */
export function discardRemainingBody (request: IncomingMessage): void {
  if (request.complete || request.destroyed) return
  request.resume()
  setTimeout(() => { if (!request.complete) request.destroy() }, LINGERING_CLOSE_MS).unref()
}

/** Reads the body of a request as far as needed. */
export function readBody (request: IncomingMessage, options: ReadBodyOptions): void {
  const contentLength = request.headers['content-length']
  const length = contentLength === undefined ? undefined : Number(contentLength)
  if (length === undefined && request.headers['transfer-encoding'] === undefined) return options.onBody(NO_BODY)
  if (length === 0) return options.onBody(NO_BODY)
  if (length !== undefined && length > options.maxBytes) return options.onError('too-large')
  if (length !== undefined && length > MAX_BUFFERED_BODY_BYTES) return options.onBody(streamBody(request, [], length, options))
  bufferBody(request, length, options)
}

/** Collects chunks until the end, or until a body of unknown length turns out to be long. */
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
        // An attempt that was refused before the first read leaves the body for the next one.
        if (isConsumed) request.resume()
        done(error)
      }
    })
    // undici listens for errors only while the attempt is running.
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
    const onClose = (): void => { if (!request.readableEnded) stream.destroy(new Error('caller closed its exchange')) }
    request.on('data', onData).on('end', onEnd).on('close', onClose)
    request.pause()
    return stream
  }

  return { type: 'streamed', length, isConsumed: () => isConsumed, openStream }
}
