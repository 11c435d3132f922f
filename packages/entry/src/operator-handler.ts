/**
 * Handler of the operator port, which serves plans, confirmations, the configuration, the status, explanations of
 * requests and metrics. All calls except `GET /health` require the bearer token.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { REASONS } from '@arbutustray/core'
import type { Confirmation, Engine, Operation } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import { z } from 'zod'
import type { ConfirmationAnswer } from './confirmation-handler.js'
import type { RequestHandler } from './http-server.js'
import { readJson } from './json-body.js'
import { operation } from './operation-schema.js'
import { sendJson } from './reject.js'
import type { RequestIds } from './request-ids.js'
import { readStatus, updateGauges } from './status.js'
import { tokensEqual } from './token.js'

export interface OperatorHandlerOptions {
  readonly engine: Engine
  readonly operatorToken: string
  readonly confirm: (confirmation: Confirmation) => Promise<ConfirmationAnswer>
  readonly requestIds: RequestIds
  readonly telemetry: Telemetry
}

type CallHandler = (request: IncomingMessage, response: ServerResponse, query: URLSearchParams) => void

const BEARER = 'Bearer '

const nonEmptyText = z.string().min(1).max(1_000)

const PlanRequest = z.strictObject({ operations: z.array(operation) })

const ConfirmationRequest = z.strictObject({
  planId: nonEmptyText,
  baseVersion: z.int().nonnegative(),
  operations: z.array(operation),
  changeId: nonEmptyText,
  actor: nonEmptyText,
  reason: nonEmptyText
})

/** Creates the handler of the operator port. */
export function createOperatorHandler (options: OperatorHandlerOptions): RequestHandler {
  const { engine, telemetry } = options

  function handlePlan (request: IncomingMessage, response: ServerResponse): void {
    readJson(request, PlanRequest, parsed => parsed.match(
      ({ operations }) => engine.plan(operations as unknown as readonly Operation[]).match(
        plan => sendJson(response, 200, plan),
        ({ reason }) => sendJson(response, reason === 'request-malformed' ? 400 : 503, { reason, message: REASONS[reason] })
      ),
      error => sendJson(response, error.status, { reason: error.reason, message: error.detail })
    ))
  }

  function handleConfirmation (request: IncomingMessage, response: ServerResponse): void {
    readJson(request, ConfirmationRequest, parsed => parsed.match(
      value => {
        options.confirm(value as unknown as Confirmation)
          .then(({ status, body }) => sendJson(response, status, body))
          .catch(error => {
            // The write may have been sent before the error, so the outcome is unknown.
            telemetry.log('command-fault', { command: 'confirm', error: String(error) })
            sendJson(response, 202, { reason: 'unknown' })
          })
      },
      error => sendJson(response, error.status, { reason: error.reason, message: error.detail })
    ))
  }

  function handleExplain (_request: IncomingMessage, response: ServerResponse, query: URLSearchParams): void {
    const id = query.get('request')
    if (id === null) return sendJson(response, 400, { message: 'query parameter request is missing' })
    const decision = engine.explain(options.requestIds.findNewest(id) ?? id)
    if (decision === undefined) return sendJson(response, 404, { message: `request ${id} is not among the newest ones` })
    sendJson(response, 200, { ...decision, requestId: id })
  }

  function handleMetrics (_request: IncomingMessage, response: ServerResponse): void {
    updateGauges(engine, telemetry.metrics)
    telemetry.metrics.text().then(
      body => response.writeHead(200, { 'content-type': telemetry.metrics.contentType }).end(body),
      () => response.writeHead(500).end()
    )
  }

  function handleHealth (_request: IncomingMessage, response: ServerResponse): void {
    const { state } = readStatus(engine)
    sendJson(response, state === 'ready' ? 200 : 503, { state })
  }

  const callHandlers: Readonly<Record<string, CallHandler>> = {
    'POST /v1/plans': handlePlan,
    'POST /v1/confirmations': handleConfirmation,
    'GET /v1/configuration': (_request, response) => {
      const configuration = engine.configuration()
      if (configuration !== undefined) return sendJson(response, 200, configuration)
      sendJson(response, 503, { reason: 'no-configuration', message: REASONS['no-configuration'] })
    },
    'GET /v1/changes': (_request, response) => sendJson(response, 200, engine.configuration()?.recent ?? []),
    'GET /v1/status': (_request, response) => sendJson(response, 200, readStatus(engine)),
    'GET /v1/explain': handleExplain,
    'GET /metrics': handleMetrics
  }

  return (request, response) => {
    const [path, query] = (request.url ?? '').split('?', 2)
    const name = `${request.method} ${path}`
    if (name === 'GET /health') return handleHealth(request, response)
    const { authorization } = request.headers
    const token = authorization?.startsWith(BEARER) === true ? authorization.slice(BEARER.length) : undefined
    if (!tokensEqual(token, options.operatorToken)) return sendJson(response, 401, { message: 'bearer token is missing or wrong' })
    if (!Object.hasOwn(callHandlers, name)) return sendJson(response, 404, { message: `no such call: ${name}` })
    callHandlers[name](request, response, new URLSearchParams(query))
  }
}
