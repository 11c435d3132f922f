/**
 * Builds one entry instance from its parts: the engine, the loop, the ports and the platform's watch.
 */
import { randomInt, randomUUID } from 'node:crypto'
import { createEngine, computePlatformPolling, startEngineLoop } from '@arbutustray/core'
import type { Engine } from '@arbutustray/core'
import { createConfigurationWriter, createHttpPlatform } from '@arbutustray/object-store'
import type { EntrySettings } from '@arbutustray/settings'
import { createTelemetry } from '@arbutustray/telemetry'
import type { Telemetry } from '@arbutustray/telemetry'
import { createCallerHandler } from './caller-server.js'
import { createExecutor } from './commands.js'
import { createConfirm } from './confirm.js'
import { EventSource } from './event-source.js'
import type { Emit } from './event-source.js'
import type { Exchange } from './exchange.js'
import { createHttpServer } from './http-server.js'
import type { HttpServer } from './http-server.js'
import { createIntake } from './intake.js'
import { startLoadPoll } from './load-poll.js'
import { createOperatorHandler } from './operator-server.js'
import { createPeerClient } from './peer-client.js'
import { createPeerHandler } from './peer-server.js'
import { startPlatformSync } from './platform-sync.js'
import { createRequestIds } from './request-ids.js'
import { services } from './service-index.js'
import { createUpstreamClient } from './upstream-client.js'

/** A running entry instance. */
export interface Entry {
  readonly engine: Engine
  /** Hands an event to the engine, for programs that embed the daemon. */
  readonly emit: Emit
  /** Addresses with actual ports. */
  readonly addresses: { readonly caller: string, readonly operator: string, readonly peer: string }
  /** Begins the planned stop; resolves when no exchange is left and the ports are closed. */
  readonly stop: () => Promise<void>
  /** Closes at once and breaks live exchanges. */
  readonly close: () => Promise<void>
  /** Rejects when the loop has ended by an error; the process must end then. */
  readonly failed: Promise<never>
}

const DEFAULT_REFUSAL_HEADER = 'x-load-shed'

/** Room for the headers that are added to a forwarded request, in bytes. */
const FORWARD_HEADER_BYTES = 4_096

interface Ports {
  readonly caller: HttpServer
  readonly operator: HttpServer
  readonly peer: HttpServer
}

/** Starts an entry instance. Rejects if a port can't be opened. */
export async function startEntry (settings: EntrySettings): Promise<Entry> {
  const { instanceId, zone, limits } = settings
  const telemetry = createTelemetry({
    instanceId, zone, logLevel: settings.logLevel, sampleShare: settings.traces.sampleShare
  })
  const ports = createPorts(settings, telemetry)
  const addresses = {
    caller: await ports.caller.listen(settings.callerAddress),
    operator: await ports.operator.listen(settings.operatorAddress),
    peer: await ports.peer.listen(settings.peerAddress)
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
  const events = new EventSource()
  const emit: Emit = event => events.push(event)
  const exchanges = new Map<string, Exchange>()
  const ids = createRequestIds()
  const peerClient = createPeerClient({
    peerToken: settings.peerToken, configuration: engine.configuration, emit, telemetry
  })
  const upstreamClient = createUpstreamClient({
    instanceId,
    peerToken: settings.peerToken,
    idleTimeoutMs: limits.idleTimeoutMs,
    exchanges,
    refusalHeader: id => services(engine.configuration()).get(id)?.refusalHeader.toLowerCase() ?? DEFAULT_REFUSAL_HEADER,
    emit,
    telemetry
  })
  let onStopped = (): void => {}
  let onFailed = (_error: Error): void => {}
  const failed = new Promise<never>((_resolve, reject) => { onFailed = reject })
  failed.catch(() => {})
  const execute = createExecutor({
    exchanges,
    upstreamClient,
    sendHeartbeat: peerClient.sendHeartbeat,
    pullConfiguration: peerClient.pullConfiguration,
    pullList: peerClient.pullList,
    onStopped: () => onStopped(),
    telemetry
  })
  const loop = startEngineLoop({
    engine: guardEngine(engine, telemetry),
    events: events.stream,
    execute: command => events.hold(() => execute(command)),
    onError: error => {
      telemetry.log('loop-ended', { error: String(error) })
      onFailed(error)
    }
  })

  const platform = createHttpPlatform({ url: settings.platformUrl })
  const sync = startPlatformSync({
    platform, emit, duty: () => computePlatformPolling(engine.world), onClientBlocks: table => { engine.world.clientBlocks = table }, telemetry
  })
  const loadPoll = startLoadPoll({ engine, emit, telemetry })
  const intake = createIntake({
    instanceId,
    engine,
    emit,
    telemetry,
    exchanges,
    ids,
    maxBodyBytes: limits.maxBodyBytes,
    bodyTimeoutMs: limits.headersTimeoutMs,
    maxRequests: limits.maxQueuedRequests
  })
  // The back-off reaches 10 s. An operator who repeats a confirmation after an outage must not be refused that long.
  const platformReachable = (): boolean => {
    if (!sync.reachable()) sync.repeatNow()
    return sync.reachable()
  }
  const confirm = createConfirm({
    engine, emit, writer: createConfigurationWriter({ store: platform }), platformReachable, telemetry
  })
  ports.caller.serve(createCallerHandler({ instanceId, engine, intake, telemetry }))
  ports.operator.serve(createOperatorHandler({
    engine, operatorToken: settings.operatorToken, confirm, ids, telemetry
  }))
  ports.peer.serve(createPeerHandler({ engine, emit, intake, peerToken: settings.peerToken, telemetry }))
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
    await Promise.all([ports.caller, ports.peer, ports.operator].map(async port => await port.close(force)))
    loop.stop()
    await loadPoll.stop()
    peerClient.close()
    await upstreamClient.close()
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

function createPorts ({ limits }: EntrySettings, telemetry: Telemetry): Ports {
  return {
    caller: createHttpServer({ limits, telemetry }),
    operator: createHttpServer({ limits, telemetry }),
    peer: createHttpServer({
      limits: { ...limits, maxHeaderBytes: limits.maxHeaderBytes + FORWARD_HEADER_BYTES }, telemetry
    })
  }
}

/** An event that makes a system throw must not end the requests of everyone else. */
function guardEngine (engine: Engine, telemetry: Telemetry): Pick<Engine, 'handle'> {
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
