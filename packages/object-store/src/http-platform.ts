/**
 * HTTP client of the platform: object store and instance list. Errors state whether a write may have taken effect: a
 * write that was never sent is `unavailable`; a write that was sent but got no readable reply is `reply-lost`.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { Dispatcher } from 'undici'
import type { InstanceList } from './instance-list.js'
import { parseInstanceList } from './instance-list.js'
import type { ObjectStore, StoredObject } from './object-store.js'
import type { PlatformError } from './platform-error.js'
import { err, errAsync, ok, ResultAsync } from 'neverthrow'
import { Agent, request } from 'undici'
import { z } from 'zod'
import { MAX_VALUE_BYTES } from './object-store.js'

/** Options of the client; times in milliseconds. */
export interface HttpPlatformOptions {
  /** Base URL, such as `http://10.0.0.1:7000`. */
  readonly url: string
  /** Timeout of each call other than a watch. */
  readonly timeoutMs?: number
  /** Timeout of a watch. Longer than the platform's own limit of 25 s, so that the platform normally ends the wait. */
  readonly watchTimeoutMs?: number
}

/** Object store and instance list over HTTP. `close` closes all connections. */
export interface HttpPlatform extends ObjectStore, InstanceList {
  readonly close: () => Promise<void>
}

const DEFAULT_TIMEOUT_MS = 2_000
const DEFAULT_WATCH_TIMEOUT_MS = 35_000
const CONNECT_TIMEOUT_MS = 1_000
// The instance list may be larger than the largest object.
const MAX_REPLY_BYTES = 16 * MAX_VALUE_BYTES

/** Codes of errors that occur before a connection is established, so that nothing was sent. */
const UNSENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'])

const storedObjectSchema = z.object({ version: z.int().positive(), value: z.unknown() })
const conflictReplySchema = z.object({ version: z.int().nonnegative() })
const writeReplySchema = z.object({ version: z.int().positive() })

interface Reply {
  readonly status: number
  readonly body: unknown
}

function errorMessage (error: unknown): string {
  return error instanceof Error ? error.message : String(error)
}

function classifyException (error: unknown, isWrite: boolean): PlatformError {
  const code = (error as { readonly code?: unknown } | null)?.code
  const wasSent = !(typeof code === 'string' && UNSENT_ERROR_CODES.has(code))
  return { type: isWrite && wasSent ? 'reply-lost' : 'unavailable', reason: errorMessage(error) }
}

function parseReply<T> (schema: z.ZodType<T>, body: unknown): Result<T, PlatformError> {
  const parsed = schema.safeParse(body)
  return parsed.success ? ok(parsed.data) : err({ type: 'malformed', reason: z.prettifyError(parsed.error) })
}

/** Maps a reply with an error status to an error. */
function classifyErrorReply (reply: Reply, isWrite: boolean): PlatformError {
  if (reply.status === 404) return { type: 'not-found' }
  const reason = `status ${reply.status}`
  // An intermediary may send 5xx after the write took effect; only 4xx guarantees that it did not.
  if (reply.status >= 500) return { type: isWrite ? 'reply-lost' : 'unavailable', reason }
  return { type: reply.status === 429 ? 'unavailable' : 'malformed', reason }
}

/** Creates a client of the platform at a base URL. It connects on the first call. */
export function createHttpPlatform (options: HttpPlatformOptions): HttpPlatform {
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, maxResponseSize: MAX_REPLY_BYTES })
  const timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS
  const watchTimeoutMs = options.watchTimeoutMs ?? DEFAULT_WATCH_TIMEOUT_MS
  const baseUrl = options.url.replace(/\/+$/, '')

  async function sendRequest (path: string, init: { method: Dispatcher.HttpMethod, body?: string, signal: AbortSignal }): Promise<Reply> {
    const headers = init.body === undefined ? {} : { 'content-type': 'application/json' }
    const response = await request(`${baseUrl}${path}`, { ...init, headers, dispatcher: agent, headersTimeout: 0, bodyTimeout: 0 })
    const text = await response.body.text()
    return { status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }
  }

  function sendRead (path: string, limitMs = timeoutMs, signal?: AbortSignal): ResultAsync<Reply, PlatformError> {
    const timeoutSignal = AbortSignal.timeout(limitMs)
    const combinedSignal = signal === undefined ? timeoutSignal : AbortSignal.any([timeoutSignal, signal])
    return ResultAsync.fromPromise(sendRequest(path, { method: 'GET', signal: combinedSignal }), error => classifyException(error, false))
  }

  function sendWrite (path: string, body: string): ResultAsync<Reply, PlatformError> {
    const signal = AbortSignal.timeout(timeoutMs)
    return ResultAsync.fromPromise(sendRequest(path, { method: 'PUT', body, signal }), error => classifyException(error, true))
  }

  const objectPath = (name: string): string => `/objects/${encodeURIComponent(name)}`

  return {
    get: async name => await sendRead(objectPath(name)).andThen(reply =>
      reply.status === 200 ? parseReply(storedObjectSchema, reply.body) : err(classifyErrorReply(reply, false))),

    put: async (name, value, expectedVersion) => {
      const body = JSON.stringify(value)
      const size = Buffer.byteLength(body)
      if (size > MAX_VALUE_BYTES) return await errAsync({ type: 'malformed' as const, reason: `value of ${size} bytes` })
      return await sendWrite(`${objectPath(name)}?expect=${expectedVersion}`, body).andThen<number, PlatformError>(reply => {
        if (reply.status === 200) {
          // The write took effect even though its reply is unreadable, so the error is not `malformed`.
          return parseReply(writeReplySchema, reply.body).map(({ version }) => version)
            .mapErr(() => ({ type: 'reply-lost' as const, reason: 'reply without version' }))
        }
        if (reply.status !== 409) return err(classifyErrorReply(reply, true))
        return parseReply(conflictReplySchema, reply.body)
          .andThen(({ version }) => err({ type: 'conflict' as const, currentVersion: version }))
      })
    },

    watch: async (name, aboveVersion, signal) =>
      await sendRead(`${objectPath(name)}?watch=${aboveVersion}`, watchTimeoutMs, signal)
        .andThen<StoredObject | undefined, PlatformError>(reply => {
          if (reply.status === 304) return ok(undefined)
          return reply.status === 200 ? parseReply(storedObjectSchema, reply.body) : err(classifyErrorReply(reply, false))
        }),

    list: async () => await sendRead('/instances').andThen<readonly ListedInstance[], PlatformError>(reply =>
      reply.status === 200 ? parseInstanceList(reply.body) : err(classifyErrorReply(reply, false))),

    close: async () => await agent.destroy()
  }
}
