/**
 * One HTTP request of a caller with its response and the answers that upstreams have given to it, kept until the response
 * to the caller is closed.
 */
import type { Answer } from './answer.js'
import type { CallerRequest } from './caller-connection.js'
import type { IncomingMessage, ServerResponse } from 'node:http'

export interface HttpExchange {
  /** Request id inside this instance. */
  readonly id: string
  /** Request id that the caller sent; empty if it sent none. */
  readonly callerRequestId: string
  /** Place of the request on its connection. */
  readonly callerRequest: CallerRequest
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Headers to forward to the upstream: alternating names and values. */
  readonly headers: readonly string[]
  /** `headers` may hold an API key or a team that the caller stated: the deployment had no teams when they were read. */
  readonly hasTeamHeaders: boolean
  readonly body: Buffer | undefined
  readonly receivedAt: number
  /** Answers of upstreams by attempt id. */
  readonly answers: Map<string, Answer>
  /** Routing decisions and results of attempts, for the `decisions` field of the log. */
  readonly decisionLog: string[]
  /** Name of the team that sent the request; `undefined` until the engine names it, and for anonymous requests. */
  team: string | undefined
  /** An answer was chosen, though it may still be being sent, or the caller closed its connection. */
  isSettled: boolean
  /** The answer was sent, or can't be sent any more. */
  isClosed: boolean
}
