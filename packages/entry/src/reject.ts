/**
 * Answers requests that are rejected before they reach the engine: malformed, unauthorised, oversized or over a limit.
 * Also sends JSON answers.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { REASONS } from '@arbutustray/core'
import type { Reason } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import { firstValue } from '@arbutustray/http'
import { HEADER } from './headers.js'
import { discardRemainingBody } from './request-body.js'

export interface Rejection {
  readonly status: number
  readonly reason: Reason
}

/** Rejects a request whose headers have been parsed. */
export function reject (
  request: IncomingMessage, response: ServerResponse, { status, reason }: Rejection, telemetry: Telemetry
): void {
  countRejection({ status, reason }, telemetry)
  if (response.headersSent || response.destroyed) return
  response.on('finish', () => discardRemainingBody(request))
  // A peer matches answers by this header. Without it the peer would have to assume that the request was executed.
  const requestId = firstValue(request.headers[HEADER.requestId])
  sendJson(response, status, { outcome: 'not-run', reason, message: REASONS[reason] }, {
    [HEADER.outcome]: 'not-run',
    [HEADER.reason]: reason,
    ...(requestId === undefined ? {} : { [HEADER.requestId]: requestId })
  })
}

/** Counts and logs a rejection. */
export function countRejection ({ status, reason }: Rejection, telemetry: Telemetry): void {
  telemetry.metrics.increment('arbutustray_rejected_requests_total', { status: String(status) })
  telemetry.log('request-rejected', { status, reason })
}

/** Sends a complete answer with a JSON body. */
export function sendJson (
  response: ServerResponse, status: number, value: unknown, headers: Readonly<Record<string, string>> = {}
): void {
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length, ...headers })
  response.end(body)
}
