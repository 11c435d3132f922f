/**
 * Simulates the entry instances of a replay, the platform that feeds them and the clients that look them up.
 */
import type { ListedInstance, RequestArrived } from '@arbutustray/core'
import type { ExchangeResult, SimulatedInstance } from './simulated-instance.js'
import type { Measurements } from './measurements.js'
import type { Profile } from './profile.js'
import type { UpstreamSet } from './upstream-set.js'
import type { TracedRequest } from './trace.js'
import type { VirtualTime } from './virtual-time.js'
import { createSimulatedInstance } from './simulated-instance.js'
import { clientAddress, createClientBlocks, createConfiguration, delayMs } from './profile.js'

export interface FleetOptions {
  readonly time: VirtualTime
  readonly profile: Profile
  readonly upstreamSet: UpstreamSet
  readonly measurements: Measurements
  readonly seed: number
  readonly untilMs: number
}

export interface Fleet {
  readonly instances: readonly SimulatedInstance[]
  /** Sends a request as a client does: looks the service up and tries the listed instances. */
  readonly send: (request: TracedRequest) => void
  /** Changes the configuration and delivers it to every live instance. */
  readonly updateConfiguration: (change: (configuration: ReturnType<typeof createConfiguration>) => ReturnType<typeof createConfiguration>) => void
  /** Restarts an instance and delivers the configuration and the instance list, which it needs to become ready. */
  readonly restart: (instance: SimulatedInstance) => void
  /** Number of requests without a result so far. */
  readonly unansweredRequests: () => number
}

const TICK_PERIOD_MS = 10
const LIST_PERIOD_MS = 1_000
const LOAD_REPORT_PERIOD_MS = 1_000
/** Age of a load report when it is delivered. */
const LOAD_REPORT_AGE_MS = 2_000
/** Time for which a client reuses the answer of a look-up. */
const LOOKUP_TTL_MS = 5_000
/** Time until a client gives up connecting to an instance that is down. */
const CLIENT_CONNECT_TIMEOUT_MS = 200

/** Creates the fleet, delivers its configuration and instance list, and schedules ticks, lists and load reports. */
export function createFleet (options: FleetOptions): Fleet {
  const { time, profile, upstreamSet, measurements } = options
  const instances: SimulatedInstance[] = []
  for (const [index, zone] of profile.instanceZones.entries()) {
    const findPeer = (id: string): SimulatedInstance | undefined => byId.get(id)
    instances.push(createSimulatedInstance({ id: `entry-${index}`, zone, time, profile, upstreamSet, seed: options.seed + index, findPeer }))
  }
  const byId = new Map(instances.map(instance => [instance.id, instance]))
  const cachedLookups = new Map<string, { readonly ids: readonly string[], readonly at: number }>()
  let configuration = createConfiguration(profile)
  let unanswered = 0

  function createFleetList (): readonly ListedInstance[] {
    const entries = instances.filter(instance => instance.alive()).map(({ id, zone }) => (
      { id, role: 'entry', zone, address: id, peerAddress: id, state: 'live' } as const))
    const upstreams = upstreamSet.upstreams.filter(row => row.alive()).map(({ id, service, zone }) => (
      { id, role: 'upstream', service, zone, address: id, state: 'live' } as const))
    return [...entries, ...upstreams]
  }

  function repeatEvery (periodMs: number, run: () => void): void {
    const again = (): void => {
      run()
      if (time.now() + periodMs < options.untilMs) time.after(periodMs, again)
    }
    again()
  }

  const clientBlocks = createClientBlocks(profile)

  function deliverPlatformState (instance: SimulatedInstance): void {
    instance.engine.world.clientBlocks = clientBlocks
    instance.deliver({ type: 'configuration-received', configuration, source: 'platform' })
    instance.deliver({ type: 'list-received', entries: createFleetList() })
  }

  function deliverPlatformStateToAll (): void {
    for (const instance of instances) deliverPlatformState(instance)
  }

  function reportLoad (): void {
    for (const upstream of upstreamSet.upstreams) {
      const active = upstream.running()
      time.after(LOAD_REPORT_AGE_MS, () => {
        for (const instance of instances) {
          if (instance.zone !== upstream.zone) continue
          instance.deliver({ type: 'upstream-reported', upstreamId: upstream.id, active, queued: 0, ageMs: LOAD_REPORT_AGE_MS })
        }
      })
    }
  }

  /** Instance ids from the client's cached look-up, or else from the nearest instance that answers the look-up. */
  function lookup (zone: string, service: string): readonly string[] {
    const key = `${zone}/${service}`
    const cached = cachedLookups.get(key)
    if (cached !== undefined && time.now() - cached.at < LOOKUP_TTL_MS) return cached.ids
    const nearest = [...instances].sort((a, b) => delayMs(profile, zone, a.zone) - delayMs(profile, zone, b.zone))
    for (const instance of nearest) {
      if (!instance.alive()) continue
      const answer = instance.engine.lookup({ service })
      if (answer.isErr()) continue
      const ids = answer.value.instances.map(instance => instance.id)
      cachedLookups.set(key, { ids, at: time.now() })
      return ids
    }
    return []
  }

  /** Removes an instance to which the client could not connect, until the next look-up. */
  function removeFromCachedLookup (request: TracedRequest, id: string): void {
    const key = `${request.zone}/${request.requestClass.service}`
    const cached = cachedLookups.get(key)
    if (cached !== undefined) cachedLookups.set(key, { ...cached, ids: cached.ids.filter(other => other !== id) })
  }

  function recordResult (request: TracedRequest, result: ExchangeResult): void {
    unanswered -= 1
    if (result.type === 'answered') measurements.recordLatency(request, time.now() - request.at)
    else if (result.type === 'refused') measurements.recordRefusal(result.reason)
    else measurements.recordLost()
  }

  function deliverRequest (request: TracedRequest, instance: SimulatedInstance): void {
    const keys = request.requestClass.kind === 'protected' ? instance.engine.issueKeys(1) : undefined
    const event: RequestArrived = {
      type: 'request-arrived',
      requestId: request.id,
      service: request.requestClass.service,
      method: request.requestClass.method,
      path: request.requestClass.path,
      client: clientAddress(profile, request.zone, request.tenant),
      contentLength: request.requestClass.length === 'long' ? request.requestClass.bytes : 0,
      ...(keys?.isOk() === true ? { key: keys.value.keys[0]! } : {})
    }
    let started = false
    instance.accept(event, {
      workMs: request.workMs,
      // A hedged request can start twice; only the first start ends the caller's wait.
      onStart: () => {
        if (!started) measurements.recordWait(request, time.now() - request.at)
        started = true
      },
      onEnd: result => time.after(profile.clientDelayMs, () => recordResult(request, result))
    })
  }

  /** Tries the listed instances in order. Each one that is down costs the client a connect time-out. */
  function tryInstances (request: TracedRequest, ids: readonly string[], start: number, tried: number): void {
    const instance = byId.get(ids[(start + tried) % Math.max(1, ids.length)] ?? '')
    if (instance?.alive() === true) {
      time.after(profile.clientDelayMs, () => deliverRequest(request, instance))
    } else if (tried + 1 < ids.length) {
      time.after(CLIENT_CONNECT_TIMEOUT_MS, () => {
        removeFromCachedLookup(request, ids[(start + tried) % ids.length]!)
        tryInstances(request, ids, start, tried + 1)
      })
    } else {
      recordResult(request, { type: 'refused', reason: 'no-instance' })
    }
  }

  deliverPlatformStateToAll()
  repeatEvery(TICK_PERIOD_MS, () => {
    for (const instance of instances) instance.deliver({ type: 'tick' })
  })
  repeatEvery(LIST_PERIOD_MS, deliverPlatformStateToAll)
  repeatEvery(LOAD_REPORT_PERIOD_MS, reportLoad)

  return {
    instances,
    send: request => {
      unanswered += 1
      const ids = lookup(request.zone, request.requestClass.service)
      const local = ids.filter(id => byId.get(id)?.zone === request.zone)
      const start = local.length > 1 ? ids.indexOf(local[Math.floor(request.at) % local.length]!) : 0
      tryInstances(request, ids, start, 0)
    },
    updateConfiguration: change => {
      configuration = { ...change(configuration), version: configuration.version + 1 }
      for (const instance of instances) instance.deliver({ type: 'configuration-received', configuration, source: 'platform' })
    },
    restart: instance => {
      instance.restart()
      deliverPlatformState(instance)
    },
    unansweredRequests: () => unanswered
  }
}
