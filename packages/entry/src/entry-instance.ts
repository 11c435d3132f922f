/**
 * Starts one entry instance: connects the engine and its loop with the servers for callers, operators and peers, the
 * clients for upstreams and peers, and the synchronisation with the platform.
 */
import { randomInt, randomUUID } from 'node:crypto'
import { createEngine, computePlatformPolling, startEngineLoop } from '@arbutustray/core'
import type { Engine } from '@arbutustray/core'
import { createConfigurationWriter, createHttpPlatform } from '@arbutustray/object-store'
import type { EntrySettings } from '@arbutustray/settings'
import { createTelemetry } from '@arbutustray/telemetry'
import type { Telemetry } from '@arbutustray/telemetry'
import { createCallerHandler } from './caller-handler.js'
import { createCommandExecutor } from './command-executor.js'
import { createConfirmationHandler } from './confirmation-handler.js'
import { EventQueue } from './event-queue.js'
import type { Emit } from './event-queue.js'
import type { CallerExchange } from './caller-exchange.js'
import { createHttpServer } from './http-server.js'
import type { HttpServer } from './http-server.js'
import { createServiceRequestHandler } from './service-request-handler.js'
import { startLoadPoll } from './load-poll.js'
import { createOperatorHandler } from './operator-handler.js'
import { createPeerClient } from './peer-client.js'
import { createPeerHandler } from './peer-handler.js'
import { startPlatformSync } from './platform-sync.js'
import { createRequestIds } from './request-ids.js'
import { indexServices } from './service-index.js'
import { createAttemptClient } from './attempt-client.js'

/** A running entry instance. */
export interface EntryInstance {
  readonly engine: Engine
  /** Passes an event to the engine, for programs that embed the daemon. */
  readonly emit: Emit
  /** Listen addresses with the actual ports. */
  readonly addresses: { readonly caller: string, readonly operator: string, readonly peer: string }
  /** Starts a graceful shutdown; resolves when no exchange is left and the ports are closed. */
  readonly stop: () => Promise<void>
  /** Closes all ports at once and aborts live exchanges. */
  readonly close: () => Promise<void>
  /** Rejects when the engine's loop ends with an error; the process must exit then. */
  readonly failed: Promise<never>
}

const DEFAULT_REFUSAL_HEADER = 'x-load-shed'

/** Largest size of the headers that an entry instance adds to a forwarded request, in bytes. */
const MAX_FORWARDING_HEADER_BYTES = 4_096

interface Servers {
  readonly caller: HttpServer
  readonly operator: HttpServer
  readonly peer: HttpServer
}

/** Starts an entry instance. Rejects if a port can't be opened. */
export async function startEntryInstance (settings: EntrySettings): Promise<EntryInstance> {
  const { instanceId, zone, limits } = settings
  const telemetry = createTelemetry({
    instanceId, zone, logLevel: settings.logLevel, sampleShare: settings.traces.sampleShare
  })
  const servers = createServers(settings, telemetry)
  const addresses = {
    caller: await servers.caller.listen(settings.callerAddress),
    operator: await servers.operator.listen(settings.operatorAddress),
    peer: await servers.peer.listen(settings.peerAddress)
  }
  const incarnation = randomUUID()
  const engine = createEngine({
    self: {
      id: instanceId,
      zone,
      address: addresses.caller,
      peerAddress: settings.advertisedPeerAddress ?? addresses.peer,
      incarnation
    },
    seed: randomInt(2 ** 31)
  })
  const events = new EventQueue()
  const emit: Emit = event => events.push(event)
  const exchanges = new Map<string, CallerExchange>()
  const requestIds = createRequestIds()
  const peerClient = createPeerClient({
    peerToken: settings.peerToken, configuration: engine.configuration, emit, telemetry
  })
  const attemptClient = createAttemptClient({
    instanceId,
    peerToken: settings.peerToken,
    idleTimeoutMs: limits.idleTimeoutMs,
    exchanges,
    refusalHeader: id => indexServices(engine.configuration()).get(id)?.refusalHeader.toLowerCase() ?? DEFAULT_REFUSAL_HEADER,
    emit,
    telemetry
  })
  let onStopped = (): void => {}
  let onFailed = (_error: Error): void => {}
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })
  failed.catch(() => {})
  const execute = createCommandExecutor({
    exchanges,
    attemptClient,
    sendHeartbeat: peerClient.sendHeartbeat,
    pullConfiguration: peerClient.pullConfiguration,
    pullList: peerClient.pullList,
    onStopped: () => onStopped(),
    telemetry
  })
  const loop = startEngineLoop({
    engine: catchEngineFaults(engine, telemetry),
    events: events.stream,
    execute: command => events.runCommand(() => execute(command)),
    onError: error => {
      telemetry.log('loop-ended', { error: String(error) })
      onFailed(error)
    }
  })

  const platform = createHttpPlatform({ url: settings.platformUrl })
  const sync = startPlatformSync({
    platform, emit, polling: () => computePlatformPolling(engine.world), onClientBlocks: table => { engine.world.clientBlocks = table }, telemetry
  })
  const loadPoll = startLoadPoll({ engine, emit, telemetry })
  const handleServiceRequest = createServiceRequestHandler({
    instanceId,
    engine,
    emit,
    telemetry,
    exchanges,
    requestIds,
    maxBodyBytes: limits.maxBodyBytes,
    bodyTimeoutMs: limits.headersTimeoutMs,
    maxLiveRequests: limits.maxQueuedRequests
  })
  // The back-off grows to 10 s. Retrying here keeps confirmations from being refused that long after an outage.
  const isPlatformReachable = (): boolean => {
    if (!sync.isReachable()) sync.retryNow()
    return sync.isReachable()
  }
  const confirm = createConfirmationHandler({
    engine, emit, writer: createConfigurationWriter({ store: platform }), isPlatformReachable, telemetry
  })
  servers.caller.serve(createCallerHandler({ instanceId, engine, handleServiceRequest, telemetry }))
  servers.operator.serve(createOperatorHandler({
    engine, operatorToken: settings.operatorToken, confirm, requestIds, telemetry
  }))
  servers.peer.serve(createPeerHandler({ engine, emit, handleServiceRequest, peerToken: settings.peerToken, telemetry }))
  telemetry.log('instance-started', {
    instanceId,
    zone,
    incarnation,
    callerAddress: addresses.caller,
    operatorAddress: addresses.operator,
    peerAddress: addresses.peer
  })

  async function close (force: boolean): Promise<void> {
    sync.stop()
    await Promise.all([servers.caller, servers.peer, servers.operator].map(async port => await port.close(force)))
    loop.stop()
    await loadPoll.stop()
    peerClient.close()
    await attemptClient.close()
    await platform.close()
    telemetry.log('instance-stopped', { instanceId })
    await telemetry.close()
  }

  async function stop (): Promise<void> {
    telemetry.log('stop-requested', { instanceId })
    await new Promise<void>(resolve => {
      onStopped = resolve
      emit({ type: 'stop-requested' })
    })
    await close(false)
  }

  return { engine, emit, addresses, failed, stop, close: async () => await close(true) }
}

function createServers ({ limits }: EntrySettings, telemetry: Telemetry): Servers {
  return {
    caller: createHttpServer({ limits, telemetry }),
    operator: createHttpServer({ limits, telemetry }),
    peer: createHttpServer({
      limits: { ...limits, maxHeaderBytes: limits.maxHeaderBytes + MAX_FORWARDING_HEADER_BYTES }, telemetry
    })
  }
}

/** Logs exceptions of the engine, so that an event that makes it throw doesn't end all other requests. */
function catchEngineFaults (engine: Engine, telemetry: Telemetry): Pick<Engine, 'handle'> {
  return {
    handle: event => {
      try {
        return engine.handle(event)
      } catch (error) {
        telemetry.log('engine-fault', { event: event.type, error: error instanceof Error ? error.stack ?? error.message : String(error) })
        return []
      }
    }
  }
}
