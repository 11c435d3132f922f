/**
 * Starts one entry instance that sends requests directly to upstreams: the steering engine, the HTTP servers, and the
 * replication of state between instances. The program that starts it writes the store's contents to `replica`.
 *
 * It is built on the steering package. The entry package is built on the core package's engine instead, whose instances
 * dispatch only within their own zone and forward other requests to each other.
 */
import type { PlacementBasis, InstanceEntry, InstanceReport, Note, Steering, SteeringCommand, SteeringEvent, StopPhase } from '@arbutustray/steering'
import type { RateLimitedLog, LogEventId, Metrics } from '@arbutustray/telemetry'
import type { HttpExchange } from './http-exchange.js'
import type { GatewaySettings } from './gateway-settings.js'
import type { HttpListener } from './http-listener.js'
import type { StoreReplica, ResourceKind } from './store-replica.js'
import { setTimeout as sleep } from 'node:timers/promises'
import { callerWeights, createInstanceDirectory, createSteering, createStopSchedule, shouldReadStore } from '@arbutustray/steering'
import { createRateLimitedLog, createMetrics } from '@arbutustray/telemetry'
import { createAcceptReport } from './accept-report.js'
import { createAnswerMemory } from './answer-memory.js'
import { createConnectionBudget } from './connection-budget.js'
import { createCallerServer } from './caller-server.js'
import { createHttpListener } from './http-listener.js'
import { createStoreReplica, RESOURCE_KINDS } from './store-replica.js'
import { startPeerSync } from './peer-sync.js'
import { createDirectoryHandler, createMetricsHandler, createReadyHandler } from './auxiliary-handlers.js'
import { createUpstreamClient } from './upstream-client.js'

export interface Gateway {
  readonly replica: StoreReplica
  readonly steering: Steering
  readonly self: InstanceEntry
  readonly log: RateLimitedLog['log']
  readonly metrics: Metrics
  /** Whether this instance should read the store. */
  readonly shouldRead: () => boolean
  /**
   * Starts the graceful shutdown. `onStopped` is called when the process may exit. Afterwards the remaining listeners
   * stop accepting, and the connections to peers and upstreams are closed.
   */
  readonly stop: (onStopped?: () => void) => Promise<void>
}

export interface GatewayOptions {
  readonly settings: GatewaySettings
  /** Whether this instance currently copies a kind from other instances because it does not read it from the store. */
  readonly isCopiedFromPeers: (kind: ResourceKind) => boolean
  /** Time for which this instance has read a kind from the store without a failed call, in milliseconds. */
  readonly readingForMs: (kind: ResourceKind) => number
}

/**
 * Interval of the engine's timeouts, health probes and hedging. Within the time that a request reserves for its answer,
 * so that a timeout reaches the caller before its deadline.
 */
const TICK_INTERVAL_MS = 40
const STOP_CHECK_INTERVAL_MS = 50
/** Time in which the remaining ports are closed when the process ends, in milliseconds. */
const MAX_CLOSE_MS = 250
/** Limits of the log, in lines per second; a line takes about 20 µs of processor time. */
const MAX_LOG_LINES = { routinePerSecond: 20, exceptionalPerSecond: 60 } as const
const ROUTINE_EVENTS: ReadonlySet<LogEventId> = new Set(['request-served', 'request-abandoned'])

const NOTE_LOGGERS: { readonly [S in Note['subject']]: (log: RateLimitedLog['log'], note: Note) => void } = {
  'upstream-suspect': logUpstreamChange,
  'upstream-restored': logUpstreamChange,
  'upstream-removed': logUpstreamChange,
  'upstream-missing': logUpstreamChange,
  'upstream-added': logUpstreamChange,
  'upstream-draining': logUpstreamChange,
  'upstream-limited': logUpstreamChange,
  'upstream-leaving': logUpstreamChange,
  'upstream-paused': logUpstreamChange,
  deployment: (log, { id, detail }) => log('deployment-in-force', { version: id, detail }),
  'team-key-conflict': (log, { id, detail }) => log('team-key-conflict', { team: id, detail }),
  evacuation: (log, { id, detail }) => log('zone-evacuation', { zone: id, detail })
}

function logUpstreamChange (log: RateLimitedLog['log'], { subject, id, detail }: Note): void {
  log('upstream-belief', { subject, upstreamId: id, detail })
}

/** Maximum logged age of a load report; an upstream that never reported its load has an infinite age. */
const MAX_LOGGED_AGE_MS = 99_999

function formatBasis ({ upstreamId, rank, load, loadAgeMs, slowdown, expectedMs }: PlacementBasis): string {
  const age = Math.round(Math.min(loadAgeMs, MAX_LOGGED_AGE_MS))
  return `${upstreamId} rank ${rank} load ${load.toFixed(1)} age ${age} ms pace ${slowdown.toFixed(2)} expected ${Math.round(expectedMs)} ms`
}

/** Starts a gateway. Rejects if a port cannot be opened. */
export async function startGateway ({ settings, isCopiedFromPeers, readingForMs }: GatewayOptions): Promise<Gateway> {
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
  const rateLimitedLog = createRateLimitedLog({ level: 'info', routineEvents: ROUTINE_EVENTS, ...MAX_LOG_LINES })
  const metrics = createMetrics({ measureEventLoopDelay: false })
  const telemetry = { log: rateLimitedLog.log, metrics }
  const steering = createSteering({
    self: { id: self.id, zone: self.zone, region: self.region },
    regions: settings.regions,
    retries: settings.retries,
    cold: settings.cold,
    ...(settings.quota === undefined ? {} : { quota: settings.quota })
  })
  const exchanges = new Map<string, HttpExchange>()
  const stopSchedule = createStopSchedule(settings.graceMs)
  let isStopping = false
  let isReady = false
  const accepts = (): boolean => isReady && !isStopping
  // An open connection may carry a request that was not read yet; kept ones are closed when the port is.
  const openWork = (): number => Math.max(callerServer.inFlight(), callerServer.listener.openConnections())
  const phase = (): StopPhase => stopSchedule.phase(performance.now(), openWork())

  const eventQueue: SteeringEvent[] = []
  let isProcessingEvents = false

  /** Passes an event to the engine and executes its commands. Exceptions are logged: one event must not end all requests. */
  function handle (event: SteeringEvent): void {
    try {
      for (const command of steering.handle(event)) execute(command)
    } catch (error) {
      rateLimitedLog.log('engine-fault', { event: event.type, error: error instanceof Error ? error.stack ?? error.message : String(error) })
    }
  }

  /** Queues events that are emitted while commands are executed, so that commands run in the order of their events. */
  function emit (event: SteeringEvent): void {
    eventQueue.push(event)
    if (isProcessingEvents) return
    isProcessingEvents = true
    for (let next = eventQueue.shift(); next !== undefined; next = eventQueue.shift()) handle(next)
    isProcessingEvents = false
  }

  const directory = createInstanceDirectory(self, accepts)
  const replica = createStoreReplica({
    emit,
    onInstances: entries => {
      const listed = new Set(entries.map(({ id }) => id))
      for (const id of directory.ids()) if (!listed.has(id)) directory.remove(id)
      entries.forEach(entry => directory.put(entry))
      const registered = [self, ...directory.peers()]
      emit({ type: 'instances-counted', ids: registered.map(({ id }) => id), weights: callerWeights(registered) })
    }
  })
  const hasTeams = (): boolean => steering.deployment()?.teams !== undefined
  const answerMemory = createAnswerMemory(settings.memoryMb)
  const upstreamClient = createUpstreamClient({ dialect, exchanges, answerMemory, emit, telemetry, hasTeams })
  const callerServer = createCallerServer({
    dialect,
    exchanges,
    emit,
    telemetry,
    cores: settings.cores,
    memoryMb: settings.memoryMb,
    answerMemory,
    limits: () => steering.deployment()?.limits,
    hasTeams,
    findRoute: steering.findRoute,
    version: () => steering.deployment()?.version ?? 0,
    shouldCloseConnections: () => connectionBudget.isShort() || (isStopping && phase() !== 'serving'),
    isClosing: () => isStopping && (phase() === 'closing' || phase() === 'ended')
  })

  const connectionBudget = createConnectionBudget({ listener: callerServer.listener, telemetry, descriptorLimit: settings.descriptorLimit })
  const reportAccepts = createAcceptReport(callerServer, telemetry)

  function applyLimits (): void {
    const limits = steering.deployment()?.limits
    if (limits !== undefined) callerServer.applyLimits(limits)
  }

  /** Counts and logs a state change of the engine, and updates the servers and pools that depend on it. */
  function note (command: Note): void {
    metrics.increment('arbutustray_beliefs_total', { subject: command.subject })
    NOTE_LOGGERS[command.subject](rateLimitedLog.log, command)
    if (command.subject === 'upstream-removed') upstreamClient.removeUpstream(command.id)
    if (command.subject === 'deployment') applyLimits()
  }

  const executors: { readonly [T in SteeringCommand['type']]: (command: Extract<SteeringCommand, { type: T }>) => void } = {
    dispatch: command => {
      const exchange = exchanges.get(command.requestId)
      exchange?.decisionLog.push(`to ${formatBasis(command.basis)}`)
      if (exchange !== undefined) exchange.team = command.team
      metrics.increment('arbutustray_placements_total', { route: command.route, kind: command.basis.kind, region: command.basis.isElsewhere ? 'other' : 'first' })
      upstreamClient.dispatch(command)
    },
    cancel: upstreamClient.cancel,
    relay: callerServer.relay,
    respond: command => {
      if (command.basis !== undefined) exchanges.get(command.requestId)?.decisionLog.push(`best ${formatBasis(command.basis)}`)
      callerServer.respond(command)
    },
    probe: upstreamClient.probe,
    note
  }
  function execute (command: SteeringCommand): void {
    (executors[command.type] as (command: SteeringCommand) => void)(command)
  }

  const handlerOptions = { dialect, accepts, directory, maxTtlMs: settings.maxTtlMs, metrics }
  const report = (): InstanceReport => ({ accepts: accepts(), isReading: RESOURCE_KINDS.every(kind => !isCopiedFromPeers(kind)) })
  const peerSync = startPeerSync({ self, seeds: settings.seeds, directory, replica, report, isCopiedFromPeers, readingForMs, demands: steering.limitedDemands, quota: steering, emit, telemetry })
  const listeners: ReadonlyArray<readonly [keyof GatewaySettings['addresses'], HttpListener]> = [
    ['caller', callerServer.listener],
    ['ready', createHttpListener({}, createReadyHandler(handlerOptions))],
    ['directory', createHttpListener({}, createDirectoryHandler(handlerOptions))],
    ['peer', createHttpListener({ keepAliveTimeout: 10_000 }, peerSync.handle)],
    ['metrics', createHttpListener({}, createMetricsHandler(handlerOptions))]
  ]
  for (const [purpose, listener] of listeners) {
    const address = addresses[purpose]
    await listener.listen(address).catch((error: unknown) => {
      rateLimitedLog.log('address-unavailable', { purpose, address, error: String(error) })
      throw error
    })
  }
  rateLimitedLog.log('gateway-started', { instanceId: self.id, zone: self.zone, callerAddress: addresses.caller })

  const timer = setInterval(() => {
    if (!isReady && replica.isComplete()) {
      isReady = true
      rateLimitedLog.log('gateway-ready', {
        version: steering.deployment()?.version ?? 0,
        upstreams: [...steering.upstreams()].length,
        startMs: Math.round(performance.now() - startedAt)
      })
    }
    emit({ type: 'tick' })
    connectionBudget.enforce()
    callerServer.closeSlowCallers(performance.now())
    reportAccepts()
  }, TICK_INTERVAL_MS)

  async function stop (onStopped?: () => void): Promise<void> {
    isStopping = true
    emit({ type: 'stop-begun', ...stopSchedule.begin(performance.now()) })
    rateLimitedLog.log('gateway-stopping', { pending: callerServer.inFlight() })
    while (phase() === 'serving' || phase() === 'leaving') {
      callerServer.listener.prepareToClose(stopSchedule.maxClosingMs)
      await sleep(STOP_CHECK_INTERVAL_MS)
    }
    await callerServer.listener.stopAccepting(stopSchedule.remainingMs(performance.now()))
    while (phase() !== 'ended') await sleep(STOP_CHECK_INTERVAL_MS)
    clearInterval(timer)
    rateLimitedLog.log('gateway-stopped', { pending: callerServer.inFlight() })
    onStopped?.()
    rateLimitedLog.close()
    await Promise.all([...listeners.map(async ([, listener]) => await listener.stopAccepting(MAX_CLOSE_MS)), peerSync.stop(), upstreamClient.close()])
  }

  const shouldRead = (): boolean => shouldReadStore(self, directory.peerCandidates(performance.now()))
  return { replica, steering, self, log: rateLimitedLog.log, metrics, shouldRead, stop }
}
