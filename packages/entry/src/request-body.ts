/**
 * The body of a caller's request. A small body is read whole before the request enters the engine: it can then be
 * sent more than once, and a slow client holds no slot while it sends. A longer body is streamed to one attempt with
 * back pressure and can't be sent again.
 */
import type { IncomingMessage } from 'node:http'
import { Readable } from 'node:stream'

/** Largest body that is kept for retries and hedges, in bytes. */
export const BUFFERED_BODY_BYTES = 64 * 1_024

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
  readonly consumed: () => boolean
  /** The stream for one attempt. Destroying it leaves the caller's connection open for the answer. */
  readonly open: () => Readable
}

/** Why a body was not read. */
export type BodyFault = 'too-large' | 'closed' | 'too-slow'

export interface BodyOptions {
  readonly maxBytes: number
  /** Time in which a body that is buffered must arrive, in milliseconds. */
  readonly bufferTimeoutMs: number
  /** Called once, synchronously if the request has no body. */
  readonly onBody: (body: RequestBody) => void
  /** Called at most once; also after `onBody` when a streamed body turns out to be too large. */
  readonly onFault: (fault: BodyFault) => void
}

const NO_BODY: RequestBody = { type: 'none' }

/** Time in which a caller may finish sending a body that is no longer needed, in milliseconds. */
const LINGER_MS = 2_000

/**
 * Discards what is left of a body after the answer was sent. Closing at once would reset the connection, and the
 * caller could lose the answer.
 */
export function discardRest (request: IncomingMessage): void {
  if (request.complete || request.destroyed) return
  request.resume()
  setTimeout(() => { if (!request.complete) request.destroy() }, LINGER_MS).unref()
}

/** Reads the body of a request as far as needed. */
export function readBody (request: IncomingMessage, options: BodyOptions): void {
  const stated = request.headers['content-length']
  const length = stated === undefined ? undefined : Number(stated)
  if (length === undefined && request.headers['transfer-encoding'] === undefined) return options.onBody(NO_BODY)
  if (length === 0) return options.onBody(NO_BODY)
  if (length !== undefined && length > options.maxBytes) return options.onFault('too-large')
  if (length !== undefined && length > BUFFERED_BODY_BYTES) return options.onBody(streamBody(request, [], length, options))
  bufferBody(request, length, options)
}

/** Collects chunks until the end, or until a body of unknown length turns out to be long. */
function bufferBody (request: IncomingMessage, length: number | undefined, options: BodyOptions): void {
  const chunks: Buffer[] = []
  let size = 0
  const stop = (): void => {
    clearTimeout(timer)
    request.off('data', onData).off('end', onEnd).off('close', onClose)
  }
  const fail = (fault: BodyFault): void => {
    stop()
    options.onFault(fault)
  }
  const onData = (chunk: Buffer): void => {
    chunks.push(chunk)
    size += chunk.length
    if (size > options.maxBytes) return fail('too-large')
    if (size <= BUFFERED_BODY_BYTES) return
    stop()
    request.pause()
    options.onBody(streamBody(request, chunks, length, options))
  }
  const onEnd = (): void => {
    stop()
    options.onBody(size === 0 ? NO_BODY : { type: 'buffered', bytes: chunks.length === 1 ? chunks[0] : Buffer.concat(chunks) })
  }
  const onClose = (): void => fail('closed')
  const timer = setTimeout(() => fail('too-slow'), options.bufferTimeoutMs)
  request.on('data', onData).on('end', onEnd).on('close', onClose)
}

function streamBody (
  request: IncomingMessage, prefix: readonly Buffer[], length: number | undefined, options: BodyOptions
): StreamedBody {
  let consumed = false
  let size = prefix.reduce((sum, chunk) => sum + chunk.length, 0)

  function open (): Readable {
    const stream = new Readable({
      read () {
        if (!consumed) {
          consumed = true
          for (const chunk of prefix) this.push(chunk)
        }
        request.resume()
      },
      destroy (error, done) {
        request.off('data', onData).off('end', onEnd).off('close', onClose)
        // An attempt that was refused before the first read leaves the body for the next one.
        if (consumed) request.resume()
        done(error)
      }
    })
    // undici listens for errors only while the attempt is running.
    stream.on('error', () => {})
    const onData = (chunk: Buffer): void => {
      size += chunk.length
      if (size > options.maxBytes) {
        stream.destroy(new Error('request body exceeds the limit'))
        return options.onFault('too-large')
      }
      if (!stream.push(chunk)) request.pause()
    }
    const onEnd = (): void => { stream.push(null) }
    const onClose = (): void => { if (!request.readableEnded) stream.destroy(new Error('caller closed its exchange')) }
    request.on('data', onData).on('end', onEnd).on('close', onClose)
    request.pause()
    return stream
  }

  return { type: 'streamed', length, consumed: () => consumed, open }
}
