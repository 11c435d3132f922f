/**
 * Client of the operator port. A confirmation that was sent without a readable answer is `unknown`, because the
 * change may have taken effect.
 */
import type { Change, Configuration, Confirmation, Decision, LookupAnswer, Operation, Plan } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import { err, ok } from 'neverthrow'
import { request } from 'undici'

/** Why a call has no result. */
export type OperatorError =
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'refused', readonly status: number, readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }

/** What became of a confirmation. */
export type ConfirmationAnswer =
  | { readonly type: 'accepted', readonly version: number }
  | { readonly type: 'conflict', readonly plan: Plan }
  | { readonly type: 'blocked', readonly blockers: readonly string[] }
  | { readonly type: 'unavailable', readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }

/** State of one entry instance; the rows are printed as they come. */
export interface Status {
  readonly instanceId: string
  readonly zone: string
  readonly version: number
  readonly state: string
  readonly instances: ReadonlyArray<Readonly<Record<string, unknown>>>
  readonly upstreams: ReadonlyArray<Readonly<Record<string, unknown>>>
  readonly headroom: ReadonlyArray<Readonly<Record<string, unknown>>>
}

type Answer<T> = Promise<Result<T, OperatorError>>

/** Calls of one entry instance. */
export interface OperatorClient {
  readonly configuration: () => Answer<Configuration>
  readonly changes: () => Answer<readonly Change[]>
  readonly status: () => Answer<Status>
  readonly explain: (requestId: string) => Answer<Decision>
  readonly plan: (operations: readonly Operation[]) => Answer<Plan>
  readonly confirm: (confirmation: Confirmation) => Answer<ConfirmationAnswer>
}

interface Reply {
  readonly status: number
  readonly body: any
}

// Longer than the time in which the daemon settles a write, so that its answer is not missed.
const CALL_TIMEOUT_MS = 15_000
const NOT_SENT = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'EAI_AGAIN', 'UND_ERR_CONNECT_TIMEOUT'])

const CONFIRMATION_ANSWERS: Readonly<Record<number, (body: any) => ConfirmationAnswer>> = {
  200: body => ({ type: 'accepted', version: body.version }),
  202: body => ({ type: 'unknown', reason: body.reason }),
  409: body => ({ type: 'conflict', plan: body.plan }),
  422: body => ({ type: 'blocked', blockers: body.blockers }),
  503: body => ({ type: 'unavailable', reason: body.reason })
}

async function call (url: string, token: string | undefined, body?: unknown): Answer<Reply> {
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
    const type = code !== undefined && NOT_SENT.has(code) ? 'unavailable' : 'unknown'
    return err({ type, reason: `${url}: ${message === '' ? code : message}` })
  }
}

function refusal ({ status, body }: Reply): OperatorError {
  const reason = [body?.reason ?? body?.error, body?.message].filter(part => part !== undefined).join(': ')
  const text = reason === '' ? `status ${status}` : reason
  return status === 503 ? { type: 'unavailable', reason: text } : { type: 'refused', status, reason: text }
}

/** A call that changes nothing is `unavailable` when it has no answer, whether or not it was sent. */
async function read<T> (url: string, token: string | undefined, body?: unknown): Answer<T> {
  const reply = await call(url, token, body)
  return reply
    .mapErr(error => ({ ...error, type: 'unavailable' as const }))
    .andThen(answer => answer.status === 200 ? ok(answer.body as T) : err(refusal(answer)))
}

/** Creates a client of the instance with this operator address (`host:port`). */
export function createOperatorClient (address: string, token?: string): OperatorClient {
  const base = `http://${address}/v1`
  return {
    configuration: async () => await read(`${base}/configuration`, token),
    changes: async () => await read(`${base}/changes`, token),
    status: async () => await read(`${base}/status`, token),
    explain: async requestId => await read(`${base}/explain?request=${encodeURIComponent(requestId)}`, token),
    plan: async operations => await read(`${base}/plans`, token, { operations }),
    confirm: async confirmation => {
      const reply = await call(`${base}/confirmations`, token, confirmation)
      return reply.andThen(answer => {
        const convert = CONFIRMATION_ANSWERS[answer.status]
        if (convert !== undefined) return ok(convert(answer.body))
        const error = refusal(answer)
        // Only 4xx states that nothing was changed.
        return err(answer.status >= 500 ? { type: 'unknown' as const, reason: error.reason } : error)
      })
    }
  }
}

/** Asks an entry instance's caller port which instances a client should use. */
export async function lookup (address: string, service: string, client?: string): Answer<LookupAnswer> {
  const query = new URLSearchParams({ service, ...(client === undefined ? {} : { client }) })
  return await read(`http://${address}/v1/lookup?${query}`, undefined)
}
