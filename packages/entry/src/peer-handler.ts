/**
 * Handler of the peer port, which serves the calls of the peer protocol and the requests that other entry instances
 * forward. Everything on this port requires the shared peer token.
 */
import type { IncomingMessage } from 'node:http'
import type { Engine, RequestArrived } from '@arbutustray/core'
import { buildFleetList } from '@arbutustray/core'
import { Peer } from '@arbutustray/protocol'
import type { Telemetry } from '@arbutustray/telemetry'
import type { ConnectRouter } from '@connectrpc/connect'
import { connectNodeAdapter } from '@connectrpc/connect-node'
import { encodeDifference } from './configuration-message.js'
import { encodeList } from './list-message.js'
import type { Emit } from './event-queue.js'
import { firstValue } from '@arbutustray/http'
import { HEADER } from './headers.js'
import { fromHeartbeatMessage, toHeartbeatMessage } from './heartbeat-message.js'
import type { RequestHandler } from './http-server.js'
import type { ServiceRequestHandler } from './service-request-handler.js'
import { reject } from './reject.js'
import { tokensEqual } from './token.js'

export interface PeerHandlerOptions {
  readonly engine: Engine
  readonly emit: Emit
  readonly handleServiceRequest: ServiceRequestHandler
  readonly peerToken: string
  readonly telemetry: Telemetry
}

const FORWARD_PREFIX = '/v1/forward/'

/** Largest message that a peer may send, in bytes. A heartbeat with 1,000 sightings is smaller than 200 KiB. */
const MAX_MESSAGE_BYTES = 1_048_576

const EMPTY_BYTES = new Uint8Array()

/** Creates the handler of the peer port. */
export function createPeerHandler (options: PeerHandlerOptions): RequestHandler {
  const { engine, telemetry } = options
  const handlePeerCall = connectNodeAdapter({ routes: router => registerCalls(router, options), readMaxBytes: MAX_MESSAGE_BYTES })

  return (request, response) => {
    const url = request.url ?? ''
    if (!tokensEqual(firstValue(request.headers[HEADER.peerToken]), options.peerToken)) {
      telemetry.log('peer-rejected', { path: url.startsWith(FORWARD_PREFIX) ? FORWARD_PREFIX : 'call' })
      return reject(request, response, { status: 401, reason: 'request-malformed' }, telemetry)
    }
    if (!url.startsWith(FORWARD_PREFIX)) return handlePeerCall(request, response)
    const forwarded = readForwarded(request)
    if (forwarded === undefined) return reject(request, response, { status: 400, reason: 'request-malformed' }, telemetry)
    options.handleServiceRequest(request, response, FORWARD_PREFIX, forwarded)
  }

  function registerCalls (router: ConnectRouter, { emit }: PeerHandlerOptions): void {
    router.service(Peer, {
      exchange: message => {
        emit({ type: 'heartbeat-received', heartbeat: fromHeartbeatMessage(message) })
        return toHeartbeatMessage(engine.heartbeat())
      },
      pullConfiguration: ({ sinceVersion }) => {
        const configuration = engine.configuration()
        if (configuration === undefined || configuration.version <= sinceVersion) {
          return { version: configuration?.version ?? 0, configuration: EMPTY_BYTES, changes: EMPTY_BYTES }
        }
        return { version: configuration.version, ...encodeDifference(configuration, sinceVersion) }
      },
      pullList: () => ({ list: encodeList(buildFleetList(engine.world)) })
    })
  }
}

function readForwarded (request: IncomingMessage): RequestArrived['forwarded'] | undefined {
  const instanceId = firstValue(request.headers[HEADER.forwardedBy])
  const originZone = firstValue(request.headers[HEADER.originZone])
  const tenant = firstValue(request.headers[HEADER.tenant])
  if (instanceId === undefined || originZone === undefined || tenant === undefined) return undefined
  return { instanceId, originZone, tenant, keyHome: request.headers[HEADER.keyHome] === 'true' }
}
