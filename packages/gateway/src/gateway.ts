/**
 * Builds one entry instance that dispatches directly: the engine, its ports, and the exchange with other instances. Who
 * starts it feeds it with the store's contents through `knowledge`.
 */
import type { PlacementBasis, InstanceEntry, InstanceReport, Note, Steering, SteeringCommand, SteeringEvent } from '@arbutustray/steering'
import type { RateLimitedLog, LogEventId, Metrics } from '@arbutustray/telemetry'
import type { Exchange } from './exchange.js'
import type { GatewaySettings } from './gateway-settings.js'
import type { HttpListener } from './http-listener.js'
import type { Knowledge, KnowledgeKind } from './knowledge.js'
import { createInstanceDirectory, createSteering, createStopSchedule, shouldReadStore } from '@arbutustray/steering'
import { createRateLimitedLog, createMetrics } from '@arbutustray/telemetry'
import { createCallerServer } from './caller-server.js'
import { createHttpListener } from './http-listener.js'
import { createKnowledge, KNOWLEDGE_KINDS } from './knowledge.js'
import { createPeerExchange } from './peer-exchange.js'
import { createDirectoryHandler, createMetricsHandler, createReadyHandler } from './side-servers.js'
import { createUpstreamClient } from './upstream-client.js'

export interface Gateway {
  readonly knowledge: Knowledge
  readonly steering: Steering
  readonly self: InstanceEntry
  readonly log: RateLimitedLog['log']
  readonly metrics: Metrics
  /** Whether this instance should read the store. */
  readonly shouldRead: () => boolean
  /** Begins the planned stop. `onStopped` is called when the process may end; connections close after it. */
  readonly stop: (onStopped?: () => void) => Promise<void>
}

export interface GatewayOptions {
  readonly settings: GatewaySettings
  /** Whether a kind is not read from the store at present, so that it is taken from other instances. */
  readonly isStale: (kind: KnowledgeKind) => boolean
}

/** Time between two runs of the systems that expire, probe and hedge. Short against objectives of some 100 ms. */
const TICK_MS = 20
const STOP_CHECK_MS = 50
/** Lines per second; a line costs some 20 µs of processor time. */
const LOG_RATES = { routinePerSecond: 20, exceptionalPerSecond: 60 } as const
const ROUTINE: ReadonlySet<LogEventId> = new Set(['request-served', 'request-abandoned'])

const NOTE_EVENTS: { readonly [S in Note['subject']]: (log: RateLimitedLog['log'], note: Note) => void } = {
  'upstream-suspect': logUpstream,
  'upstream-restored': logUpstream,
  'upstream-removed': logUpstream,
  'upstream-added': logUpstream,
  'upstream-draining': logUpstream,
  deployment: (log, { id, detail }) => log('deployment-in-force', { version: id, detail }),
  evacuation: (log, { id, detail }) => log('zone-evacuation', { zone: id, detail })
}

function logUpstream (log: RateLimitedLog['log'], { subject, id, detail }: Note): void {
  log('upstream-belief', { subject, upstreamId: id, detail })
}

/** Greatest age that is written, in milliseconds; an upstream that never reported has an infinite one. */
const MAX_LOGGED_AGE_MS = 99_999

function formatBasis ({ upstreamId, rank, load, loadAgeMs, pace, expectedMs }: PlacementBasis): string {
  const age = Math.round(Math.min(loadAgeMs, MAX_LOGGED_AGE_MS))
  return `${upstreamId} rank ${rank} load ${load.toFixed(1)} age ${age} ms pace ${pace.toFixed(2)} expected ${Math.round(expectedMs)} ms`
}

/** Starts a gateway. Rejects if a port can't be opened. */
export async function startGateway ({ settings, isStale }: GatewayOptions): Promise<Gateway> {
  const startedAt = performance.now()
  const { dialect, addresses } = settings
  const self: InstanceEntry = {
    id: settings.instanceId,
    zone: settings.zone,
    region: settings.region,
    callerAddress: addresses.caller,
    peerAddress: addresses.peer,
    linkMbps: settings.linkMbps
  }
  const bounded = createRateLimitedLog({ level: 'info', routineEvents: ROUTINE, ...LOG_RATES })
  const metrics = createMetrics({ measureEventLoopDelay: false })
  const telemetry = { log: bounded.log, metrics }
  const steering = createSteering({
    self: { id: self.id, zone: self.zone, region: self.region },
    regions: settings.regions,
    retries: settings.retries,
    cold: settings.cold
  })
  const exchanges = new Map<string, Exchange>()
  const schedule = createStopSchedule(settings.graceMs)
  let isStopping = false
  let isReady = false
  const accepts = (): boolean => isReady && !isStopping
  const phase = (): ReturnType<typeof schedule.phase> => schedule.phase(performance.now(), callers.inFlight())

  const waiting: SteeringEvent[] = []
  let isBusy = false

  /** An event that makes a system throw must not end the requests of everyone else. */
  function handle (event: SteeringEvent): void {
    try {
      for (const command of steering.handle(event)) execute(command)
    } catch (error) {
      bounded.log('engine-fault', { event: event.type, error: error instanceof Error ? error.stack ?? error.message : String(error) })
    }
  }

  /** Events that come while commands are carried out wait, so that commands keep the order of their events. */
  function emit (event: SteeringEvent): void {
    waiting.push(event)
    if (isBusy) return
    isBusy = true
    for (let head = waiting.shift(); head !== undefined; head = waiting.shift()) handle(head)
    isBusy = false
  }

  const directory = createInstanceDirectory(self, accepts)
  const knowledge = createKnowledge({
    emit,
    onInstances: entries => {
      const listed = new Set(entries.map(({ id }) => id))
      for (const id of directory.ids()) if (!listed.has(id)) directory.remove(id)
      entries.forEach(entry => directory.put(entry))
      emit({ type: 'instances-counted', ids: directory.ids() })
    }
  })
  const client = createUpstreamClient({ dialect, exchanges, emit, telemetry })
  const callers = createCallerServer({
    dialect,
    exchanges,
    emit,
    telemetry,
    limits: () => steering.deployment()?.limits,
    version: () => steering.deployment()?.version ?? 0,
    isLeaving: () => isStopping && phase() !== 'serving',
    isClosing: () => isStopping && (phase() === 'closing' || phase() === 'ended')
  })

  function applyLimits (): void {
    const limits = steering.deployment()?.limits
    if (limits !== undefined) callers.applyLimits(limits)
  }

  function note (command: Note): void {
    metrics.increment('arbutustray_beliefs_total', { subject: command.subject })
    NOTE_EVENTS[command.subject](bounded.log, command)
    if (command.subject === 'upstream-removed') client.forget(command.id)
    if (command.subject === 'deployment') applyLimits()
  }

  const executors: { readonly [T in SteeringCommand['type']]: (command: Extract<SteeringCommand, { type: T }>) => void } = {
    dispatch: command => {
      exchanges.get(command.requestId)?.trail.push(`to ${formatBasis(command.basis)}`)
      client.dispatch(command)
    },
    cancel: client.cancel,
    relay: callers.relay,
    respond: command => {
      if (command.basis !== undefined) exchanges.get(command.requestId)?.trail.push(`best ${formatBasis(command.basis)}`)
      callers.respond(command)
    },
    probe: client.probe,
    note
  }
  function execute (command: SteeringCommand): void {
    (executors[command.type] as (command: SteeringCommand) => void)(command)
  }

  const side = { dialect, accepts, directory, maxTtlMs: settings.maxTtlMs, metrics }
  const report = (): InstanceReport => ({ accepts: accepts(), isReading: KNOWLEDGE_KINDS.every(kind => !isStale(kind)) })
  const peers = createPeerExchange({ self, seeds: settings.seeds, directory, knowledge, report, isStale, telemetry })
  const listeners: ReadonlyArray<readonly [keyof GatewaySettings['addresses'], HttpListener]> = [
    ['caller', callers.listener],
    ['ready', createHttpListener({}, createReadyHandler(side))],
    ['directory', createHttpListener({}, createDirectoryHandler(side))],
    ['peer', createHttpListener({ keepAliveTimeout: 10_000 }, peers.handle)],
    ['metrics', createHttpListener({}, createMetricsHandler(side))]
  ]
  for (const [purpose, listener] of listeners) {
    const address = addresses[purpose]
    await listener.listen(address).catch((error: unknown) => {
      bounded.log('address-unavailable', { purpose, address, error: String(error) })
      throw error
    })
  }
  bounded.log('gateway-started', { instanceId: self.id, zone: self.zone, callerAddress: addresses.caller })

  const timer = setInterval(() => {
    if (!isReady && knowledge.isComplete()) {
      isReady = true
      bounded.log('gateway-ready', {
        version: steering.deployment()?.version ?? 0,
        upstreams: [...steering.upstreams()].length,
        startMs: Math.round(performance.now() - startedAt)
      })
    }
    emit({ type: 'tick' })
  }, TICK_MS)

  async function stop (onStopped?: () => void): Promise<void> {
    isStopping = true
    schedule.begin(performance.now())
    bounded.log('gateway-stopping', { pending: callers.inFlight() })
    await new Promise<void>(resolve => {
      let isAccepting = true
      const check = setInterval(() => {
        const current = phase()
        if (isAccepting && (current === 'closing' || current === 'ended')) {
          isAccepting = false
          callers.listener.stopAccepting()
        }
        if (current !== 'ended') return
        clearInterval(check)
        resolve()
      }, STOP_CHECK_MS)
    })
    clearInterval(timer)
    bounded.log('gateway-stopped', { pending: callers.inFlight() })
    onStopped?.()
    bounded.close()
    for (const [, listener] of listeners) listener.stopAccepting()
    await Promise.all([peers.stop(), client.close()])
  }

  const shouldRead = (): boolean => shouldReadStore(self, directory.readerCandidates(performance.now()))
  return { knowledge, steering, self, log: bounded.log, metrics, shouldRead, stop }
}
