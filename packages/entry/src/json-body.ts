/**
 * Reads and validates the JSON bodies of API calls. Bodies are limited to the size that is buffered.
 */
import type { IncomingMessage } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import { MAX_BUFFERED_BODY_BYTES, readBody } from './request-body.js'
import type { BodyReadError } from './request-body.js'
import type { Rejection } from './reject.js'

/** Why a JSON body was not accepted. */
export interface JsonError extends Rejection {
  /** Description of the problem for people, with the path of the field if the schema doesn't match. */
  readonly detail: string
}

const JSON_ERRORS: Readonly<Record<BodyReadError, JsonError>> = {
  'too-large': { status: 413, reason: 'request-too-large', detail: `body exceeds ${MAX_BUFFERED_BODY_BYTES} bytes` },
  'too-slow': { status: 408, reason: 'deadline-passed', detail: 'body did not arrive in time' },
  closed: { status: 400, reason: 'client-cancelled', detail: 'connection closed' }
}

/** Time in which the body must arrive completely, in milliseconds. */
const BODY_TIMEOUT_MS = 10_000

/** Reads a JSON body and validates it by a schema. `onResult` is called once. */
export function readJson<T> (
  request: IncomingMessage, schema: z.ZodType<T>, onResult: (result: Result<T, JsonError>) => void
): void {
  readBody(request, {
    maxBytes: MAX_BUFFERED_BODY_BYTES,
    bufferTimeoutMs: BODY_TIMEOUT_MS,
    onBody: body => onResult(parseJson(body.type === 'buffered' ? body.bytes.toString('utf8') : '', schema)),
    onError: error => onResult(err(JSON_ERRORS[error]))
  })
}

function parseJson<T> (text: string, schema: z.ZodType<T>): Result<T, JsonError> {
  const malformed = (detail: string): Result<T, JsonError> => err({ status: 400, reason: 'request-malformed', detail })
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    return malformed('body is not JSON')
  }
  const parsed = schema.safeParse(value)
  if (parsed.success) return ok(parsed.data)
  const issue = parsed.error.issues[0]
  return malformed(`${issue.path.join('.')}: ${issue.message}`)
}
