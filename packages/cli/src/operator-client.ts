/**
 * HTTP client of an entry instance: calls of the operator port, and the lookup of the caller port. If a confirmation
 * was sent but no readable answer arrives, its outcome is `unknown`, because the change may have taken effect.
 */
import type { Change, Configuration, Confirmation, RoutingDecision, LookupResult, Operation, Plan } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { request } from 'undici'

/** Why a call failed. */
export type OperatorError =
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'refused', readonly status: number, readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }

/** Outcome of a confirmation. */
export type ConfirmationAnswer =
  | { readonly type: 'accepted', readonly version: number }
  | { readonly type: 'conflict', readonly plan: Plan }
  | { readonly type: 'blocked', readonly blockers: readonly string[] }
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }

/** State of one entry instance. Its rows are printed as received. */
export interface Status {
  readonly instanceId: string
  readonly zone: string
  readonly version: number
  readonly state: string
  readonly instances: ReadonlyArray<Readonly<Record<string, unknown>>>
  readonly upstreams: ReadonlyArray<Readonly<Record<string, unknown>>>
  readonly headroom: ReadonlyArray<Readonly<Record<string, unknown>>>
}

type AsyncResult<T> = Promise<Result<T, OperatorError>>

/** Calls to one entry instance. */
export interface OperatorClient {
  readonly configuration: () => AsyncResult<Configuration>
  readonly changes: () => AsyncResult<readonly Change[]>
  readonly status: () => AsyncResult<Status>
  readonly explain: (requestId: string) => AsyncResult<RoutingDecision>
  readonly plan: (operations: readonly Operation[]) => AsyncResult<Plan>
  readonly confirm: (confirmation: Confirmation) => AsyncResult<ConfirmationAnswer>
}

interface HttpResponse {
  readonly status: number
  readonly body: any
}

// Longer than the entry instance may take to find out whether a write succeeded, so that its answer still arrives.
const CALL_TIMEOUT_MS = 15_000
// Errors which show that the request was not sent.
const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'])

const CONFIRMATION_ANSWERS_BY_STATUS: Readonly<Record<number, (body: any) => ConfirmationAnswer>> = {
  200: body => ({ type: 'accepted', version: body.version }),
  202: body => ({ type: 'unknown', reason: body.reason }),
  409: body => ({ type: 'conflict', plan: body.plan }),
  422: body => ({ type: 'blocked', blockers: body.blockers }),
  503: body => ({ type: 'unavailable', reason: body.reason })
}

async function sendRequest (url: string, token: string | undefined, body?: unknown): AsyncResult<HttpResponse> {
  try {
    const response = await request(url, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {
        ...(token === undefined ? {} : { authorization: `Bearer ${token}` }),
        ...(body === undefined ? {} : { 'content-type': 'application/json' })
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS)
    })
    const text = await response.body.text()
    return ok({ status: response.statusCode, body: text === '' ? {} : JSON.parse(text) })
  } catch (error) {
    const { code, message } = error as { readonly code?: string, readonly message: string }
    const type = code !== undefined && NOT_SENT_ERROR_CODES.has(code) ? 'unavailable' : 'unknown'
    return err({ type, reason: `${url}: ${message === '' ? code : message}` })
  }
}

function errorOfResponse ({ status, body }: HttpResponse): OperatorError {
  const reason = [body?.reason ?? body?.error, body?.message].filter(part => part !== undefined).join(': ')
  const text = reason === '' ? `status ${status}` : reason
  return status === 503 ? { type: 'unavailable', reason: text } : { type: 'refused', status, reason: text }
}

/** Makes a call that changes nothing. Without an answer it is `unavailable`, whether or not the request was sent. */
async function callReadOnly<T> (url: string, token: string | undefined, body?: unknown): AsyncResult<T> {
  const result = await sendRequest(url, token, body)
  return result
    .mapErr(error => ({ ...error, type: 'unavailable' as const }))
    .andThen(response => response.status === 200 ? ok(response.body as T) : err(errorOfResponse(response)))
}

/** Creates a client of the entry instance with this operator address (`host:port`). */
export function createOperatorClient (address: string, token?: string): OperatorClient {
  const base = `http://${address}/v1`
  return {
    configuration: async () => await callReadOnly(`${base}/configuration`, token),
    changes: async () => await callReadOnly(`${base}/changes`, token),
    status: async () => await callReadOnly(`${base}/status`, token),
    explain: async requestId => await callReadOnly(`${base}/explain?request=${encodeURIComponent(requestId)}`, token),
    plan: async operations => await callReadOnly(`${base}/plans`, token, { operations }),
    confirm: async confirmation => {
      const result = await sendRequest(`${base}/confirmations`, token, confirmation)
      return result.andThen(response => {
        const toConfirmationAnswer = CONFIRMATION_ANSWERS_BY_STATUS[response.status]
        if (toConfirmationAnswer !== undefined) return ok(toConfirmationAnswer(response.body))
        const error = errorOfResponse(response)
        // Only a 4xx status guarantees that nothing was changed.
        return err(response.status >= 500 ? { type: 'unknown' as const, reason: error.reason } : error)
      })
    }
  }
}

/** Asks the caller port of an entry instance (`host:port`) which instances a client should use. */
export async function lookUpInstances (address: string, service: string, client?: string): AsyncResult<LookupResult> {
  const query = new URLSearchParams({ service, ...(client === undefined ? {} : { client }) })
  return await callReadOnly(`http://${address}/v1/lookup?${query}`, undefined)
}
