/**
 * Handler of the caller port, which serves look-ups, idempotency keys and requests for services.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { REASONS } from '@arbutustray/core'
import type { Engine, Reason } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import { z } from 'zod'
import { HEADER } from './headers.js'
import type { RequestHandler } from './http-server.js'
import type { ServiceRequestHandler } from './service-request-handler.js'
import { readJson } from './json-body.js'
import { reject, sendJson } from './reject.js'

export interface CallerHandlerOptions {
  readonly instanceId: string
  readonly engine: Engine
  readonly handleServiceRequest: ServiceRequestHandler
  readonly telemetry: Telemetry
}

const SERVICES_PREFIX = '/v1/services/'

/** Largest number of idempotency keys issued by one call. */
const MAX_KEYS_PER_CALL = 1_000

const IssueKeysRequest = z.object({ service: z.string().min(1), count: z.int().min(1).max(MAX_KEYS_PER_CALL) })

/** Creates the handler of the caller port. */
export function createCallerHandler (options: CallerHandlerOptions): RequestHandler {
  const { engine, telemetry } = options

  function instanceHeaders (): Record<string, string> {
    return { [HEADER.instance]: options.instanceId, [HEADER.version]: String(engine.configuration()?.version ?? 0) }
  }

  function sendRefusal (response: ServerResponse, reason: Reason): void {
    sendJson(response, 503, { outcome: 'not-run', reason, message: REASONS[reason] }, {
      ...instanceHeaders(), [HEADER.outcome]: 'not-run', [HEADER.reason]: reason
    })
  }

  function lookup (request: IncomingMessage, response: ServerResponse): void {
    const url = request.url ?? ''
    const query = new URLSearchParams(url.slice(url.indexOf('?') + 1))
    const service = query.get('service')
    if (service === null) return reject(request, response, { status: 400, reason: 'request-malformed' }, telemetry)
    const client = query.get('client') ?? request.socket.remoteAddress
    engine.lookup({ service, ...(client === undefined ? {} : { client }) }).match(
      answer => sendJson(response, 200, answer, instanceHeaders()),
      error => sendRefusal(response, error.reason)
    )
  }

  function issueKeys (request: IncomingMessage, response: ServerResponse): void {
    readJson(request, IssueKeysRequest, parsed => parsed.match(
      ({ service, count }) => {
        if (!(engine.configuration()?.services.some(row => row.id === service) ?? false)) {
          return sendRefusal(response, engine.configuration() === undefined ? 'no-configuration' : 'unknown-service')
        }
        engine.issueKeys(count).match(
          issued => sendJson(response, 200, issued, instanceHeaders()),
          error => sendRefusal(response, error.reason)
        )
      },
      error => reject(request, response, { status: error.status, reason: error.reason }, telemetry)
    ))
  }

  return (request, response) => {
    const url = request.url ?? ''
    if (url.startsWith(SERVICES_PREFIX)) return options.handleServiceRequest(request, response, SERVICES_PREFIX)
    if (request.method === 'GET' && url.startsWith('/v1/lookup?')) return lookup(request, response)
    if (request.method === 'POST' && url === '/v1/keys') return issueKeys(request, response)
    reject(request, response, { status: 404, reason: 'unknown-route' }, telemetry)
  }
}
