/**
 * Calls other entry instances to exchange heartbeats and to pull the configuration and the instance list. Results and
 * failures are emitted to the engine as events.
 */
import { Agent } from 'node:http'
import type { Configuration, PullConfiguration, PullList, SendHeartbeat } from '@arbutustray/core'
import { Peer } from '@arbutustray/protocol'
import type { Telemetry } from '@arbutustray/telemetry'
import { createClient } from '@connectrpc/connect'
import type { Client, Interceptor } from '@connectrpc/connect'
import { createConnectTransport } from '@connectrpc/connect-node'
import { decodeChanges, decodeConfiguration } from './configuration-message.js'
import { decodeList } from './list-message.js'
import type { Emit } from './event-queue.js'
import { HEADER } from './headers.js'
import { fromHeartbeatMessage, toHeartbeatMessage } from './heartbeat-message.js'

/** Time in which a peer must answer before it counts as unreachable. Equal to the period of heartbeats. */
const CALL_TIMEOUT_MS = 1_000

export interface PeerClientOptions {
  readonly peerToken: string
  readonly configuration: () => Configuration | undefined
  readonly emit: Emit
  readonly telemetry: Telemetry
}

export interface PeerClient {
  readonly sendHeartbeat: (command: SendHeartbeat) => void
  readonly pullConfiguration: (command: PullConfiguration) => void
  readonly pullList: (command: PullList) => void
  readonly close: () => void
}

/** Creates the client for peers. All calls share its keep-alive connections. */
export function createPeerClient (options: PeerClientOptions): PeerClient {
  const { emit, telemetry } = options
  const agent = new Agent({ keepAlive: true })
  const clients = new Map<string, Client<typeof Peer>>()
  const authorize: Interceptor = next => async request => {
    request.header.set(HEADER.peerToken, options.peerToken)
    return await next(request)
  }

  function clientFor (address: string): Client<typeof Peer> {
    let client = clients.get(address)
    if (client === undefined) {
      client = createClient(Peer, createConnectTransport({
        baseUrl: `http://${address}`,
        httpVersion: '1.1',
        nodeOptions: { agent },
        useBinaryFormat: true,
        defaultTimeoutMs: CALL_TIMEOUT_MS,
        interceptors: [authorize]
      }))
      clients.set(address, client)
    }
    return client
  }

  function onUnreachable (instanceId: string, address: string, error: unknown): void {
    // A replacement of the instance has another address, so this client may never be used again.
    clients.delete(address)
    telemetry.log('peer-unreachable', { peerId: instanceId, error: String(error) })
    emit({ type: 'peer-unreachable', instanceId })
  }

  async function exchangeHeartbeats ({ address, heartbeat }: SendHeartbeat): Promise<void> {
    const reply = await clientFor(address).exchange(toHeartbeatMessage(heartbeat))
    emit({ type: 'heartbeat-received', heartbeat: fromHeartbeatMessage(reply) })
  }

  async function fetchConfiguration ({ address, sinceVersion }: PullConfiguration): Promise<void> {
    const reply = await clientFor(address).pullConfiguration({ sinceVersion })
    if (reply.version <= sinceVersion) return
    const current = options.configuration()
    const hasChanges = reply.changes.length > 0
    // Another source has delivered a newer version meanwhile. The next heartbeat shows whether changes are missing.
    if (hasChanges && current?.version !== sinceVersion) return
    const decoded = hasChanges && current !== undefined
      ? decodeChanges(reply.changes, current)
      : decodeConfiguration(reply.configuration)
    decoded.match(
      configuration => emit({ type: 'configuration-received', configuration, source: 'peer' }),
      error => telemetry.log('configuration-unreadable', { source: 'peer', error })
    )
  }

  async function fetchList ({ address }: PullList): Promise<void> {
    const { list } = await clientFor(address).pullList({})
    if (list.length === 0) return
    decodeList(list).match(
      entries => emit({ type: 'list-received', entries }),
      error => telemetry.log('list-unreadable', { error })
    )
  }

  return {
    sendHeartbeat: command => {
      exchangeHeartbeats(command).catch(error => onUnreachable(command.instanceId, command.address, error))
    },
    pullConfiguration: command => {
      fetchConfiguration(command).catch(error => onUnreachable(command.instanceId, command.address, error))
    },
    pullList: command => {
      fetchList(command).catch(error => onUnreachable(command.instanceId, command.address, error))
    },
    close: () => agent.destroy()
  }
}
