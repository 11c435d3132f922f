/**
 * Builds one entry instance from its parts: the engine, the loop, the ports and the platform's watch.
 */
import { randomInt, randomUUID } from 'node:crypto'
import { createEngine } from '@arbutustray/core'
import type { Engine } from '@arbutustray/core'
import { createTelemetry } from '@arbutustray/telemetry'
import { createCallerHandler } from './caller-server.js'
import { createExecutor } from './commands.js'
import { startEventLoop } from './event-loop.js'
import type { Emit } from './event-loop.js'
import type { Exchange } from './exchange.js'
import { createHttpServer } from './http-server.js'
import { createIntake } from './intake.js'
import { createRequestIds } from './request-ids.js'
import type { EntrySettings } from './settings.js'
import { createUpstreamClient } from './upstream-client.js'

/** A running entry instance. */
export interface Entry {
  readonly engine: Engine
  /** Hands an event to the engine; for tests and for programs that embed the daemon. */
  readonly emit: Emit
  /** Addresses with actual ports. */
  readonly addresses: { readonly caller: string }
  /** Begins the planned stop; resolves when no exchange is left and the ports are closed. */
  readonly stop: () => Promise<void>
  /** Closes at once and breaks live exchanges; for tests. */
  readonly close: () => Promise<void>
}

const DEFAULT_REFUSAL_HEADER = 'x-load-shed'

/** Starts an entry instance. Rejects if a port can't be opened. */
export async function startEntry (settings: EntrySettings): Promise<Entry> {
  const { instanceId, zone, limits } = settings
  const telemetry = createTelemetry({
    instanceId, zone, logLevel: settings.logLevel, sampleShare: settings.traces.sampleShare
  })
  const callerServer = createHttpServer({ limits, telemetry })
  const caller = await callerServer.listen(settings.callerAddress)
  const engine = createEngine({
    self: { id: instanceId, zone, address: caller, peerAddress: settings.peerAddress, incarnation: randomUUID() },
    seed: randomInt(2 ** 31)
  })
  const exchanges = new Map<string, Exchange>()
  const ids = createRequestIds()
  let onStopped = (): void => {}
  const emit: Emit = event => loop.emit(event)
  const upstreamClient = createUpstreamClient({
    instanceId,
    peerToken: settings.peerToken,
    idleTimeoutMs: limits.idleTimeoutMs,
    exchanges,
    refusalHeader: id => engine.configuration()?.services.find(row => row.id === id)?.refusalHeader ?? DEFAULT_REFUSAL_HEADER,
    emit,
    telemetry
  })
  const execute = createExecutor({
    exchanges, upstreamClient, sendHeartbeat: () => {}, pullConfiguration: () => {}, onStopped: () => onStopped(), telemetry
  })
  const loop = startEventLoop({
    engine,
    execute,
    onFault: (event, error) => telemetry.log('engine-fault', { event: event.type, error: String(error) })
  })
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
  callerServer.serve(createCallerHandler({ instanceId, engine, intake, telemetry }))

  async function stop (): Promise<void> {
    telemetry.log('stop-requested', { instanceId })
    await new Promise<void>(resolve => {
      onStopped = resolve
      emit({ type: 'stop-requested' })
    })
    await close(false)
    telemetry.log('instance-stopped', { instanceId })
  }

  async function close (force: boolean): Promise<void> {
    loop.stop()
    await callerServer.close(force)
    await upstreamClient.close()
    await telemetry.close()
  }

  return { engine, emit, addresses: { caller }, stop, close: async () => await close(true) }
}
