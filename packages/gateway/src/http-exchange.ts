/**
 * A caller's request and the answers that were read for it, until one of them is passed on.
 */
import type { Answer } from './answer.js'
import type { IncomingMessage, ServerResponse } from 'node:http'

export interface HttpExchange {
  /** Identity inside this instance. */
  readonly id: string
  /** Identity that the caller gave the request. */
  readonly callerRequestId: string
  readonly request: IncomingMessage
  readonly response: ServerResponse
  /** Headers for the next hop: names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  readonly receivedAt: number
  readonly answers: Map<string, Answer>
  /** What was decided for the request, for its log line. */
  readonly decisionLog: string[]
  ended: boolean
}
