/**
 * Simulates one entry instance in a replay. Runs the real engine and executes its commands on virtual time, with
 * simulated upstreams and peers.
 */
import type { Command, Dispatch, Engine, Event, Forward, Headroom, RequestArrived } from '@arbutustray/core'
import type { Profile } from './profile.js'
import type { UpstreamSet } from './upstream-set.js'
import type { VirtualTime } from './virtual-time.js'
import type { Work } from './simulated-upstream.js'
import { createEngine } from '@arbutustray/core'
import { delayMs } from './profile.js'

/** How a request ended at an instance. */
export type ExchangeResult =
  | { readonly type: 'answered' | 'refused' | 'unknown', readonly reason: string }

/** A request that an instance is handling, with callbacks for its progress. */
export interface Exchange {
  readonly workMs: number
  readonly onStart: () => void
  readonly onEnd: (result: ExchangeResult) => void
}

export interface SimulatedInstance {
  readonly id: string
  readonly zone: string
  readonly engine: Engine
  readonly alive: () => boolean
  readonly deliver: (event: Event) => void
  readonly accept: (event: RequestArrived, exchange: Exchange) => void
  readonly crash: () => void
  readonly restart: () => void
}

export interface SimulatedInstanceOptions {
  readonly id: string
  readonly zone: string
  readonly time: VirtualTime
  readonly profile: Profile
  readonly upstreamSet: UpstreamSet
  readonly seed: number
  readonly findPeer: (id: string) => SimulatedInstance | undefined
}

/** Time until a sender notices that the receiver is down. */
const CONNECT_TIMEOUT_MS = 200

type CommandHandlers = { readonly [T in Command['type']]?: (command: Extract<Command, { type: T }>) => void }

/** Creates a running instance. The caller delivers its ticks. */
export function createSimulatedInstance (options: SimulatedInstanceOptions): SimulatedInstance {
  const { time, profile, upstreamSet } = options
  let incarnation = 0
  let engine = startEngine()
  let alive = true
  let exchanges = new Map<string, Exchange>()
  let cancelActions = new Map<string, () => void>()

  function startEngine (): Engine {
    incarnation += 1
    return createEngine({
      self: {
        id: options.id,
        zone: options.zone,
        address: options.id,
        peerAddress: options.id,
        incarnation: `${options.id}.${incarnation}`
      },
      seed: options.seed
    })
  }

  /** Delivers an event unless the instance has restarted since the action that caused the event. */
  function deliverToIncarnation (expectedIncarnation: number, event: Event): void {
    if (alive && expectedIncarnation === incarnation) deliver(event)
  }

  function deliver (event: Event): void {
    if (!alive) return
    for (const command of engine.handle(event)) execute(command)
  }

  function execute (command: Command): void {
    const handler = commandHandlers[command.type] as ((command: Command) => void) | undefined
    handler?.(command)
  }

  function finishExchange (requestId: string, result: ExchangeResult): void {
    const exchange = exchanges.get(requestId)
    exchanges.delete(requestId)
    exchange?.onEnd(result)
  }

  function deliverAnswer (expectedIncarnation: number, attemptId: string, headroom?: Headroom): void {
    cancelActions.delete(attemptId)
    deliverToIncarnation(expectedIncarnation, { type: 'attempt-answered', attemptId, status: 200, ...(headroom === undefined ? {} : { headroom }) })
    deliverToIncarnation(expectedIncarnation, { type: 'attempt-finished', attemptId })
  }

  function dispatch (command: Dispatch): void {
    const expectedIncarnation = incarnation
    const { attemptId } = command
    const exchange = exchanges.get(command.requestId)
    const upstream = upstreamSet.find(command.upstreamId)
    if (exchange === undefined || upstream === undefined) return
    const delay = delayMs(profile, options.zone, upstream.zone)
    if (!upstream.alive()) {
      time.after(CONNECT_TIMEOUT_MS, () => deliverToIncarnation(expectedIncarnation, { type: 'attempt-refused', attemptId, proof: 'not-written' }))
      return
    }
    time.after(0, () => deliverToIncarnation(expectedIncarnation, { type: 'attempt-written', attemptId }))
    const work: Work = {
      workMs: exchange.workMs,
      onStart: exchange.onStart,
      onDone: () => time.after(delay, () => deliverAnswer(expectedIncarnation, attemptId)),
      onShed: () => time.after(delay, () => deliverToIncarnation(expectedIncarnation, { type: 'attempt-refused', attemptId, proof: 'shed' }))
    }
    cancelActions.set(attemptId, () => time.after(delay, () => upstream.cancel(work)))
    time.after(delay, () => {
      if (upstream.alive()) upstream.accept(work)
      else time.after(CONNECT_TIMEOUT_MS, () => deliverToIncarnation(expectedIncarnation, { type: 'attempt-failed', attemptId, truncated: false }))
    })
  }

  function forward (command: Forward): void {
    const expectedIncarnation = incarnation
    const { attemptId } = command
    const exchange = exchanges.get(command.requestId)
    const arrival = arrivals.get(command.requestId)
    const peer = options.findPeer(command.instanceId)
    if (exchange === undefined || arrival === undefined) return
    if (peer === undefined || !peer.alive()) {
      time.after(CONNECT_TIMEOUT_MS, () => deliverToIncarnation(expectedIncarnation, { type: 'attempt-refused', attemptId, proof: 'not-written' }))
      return
    }
    const delay = delayMs(profile, options.zone, peer.zone)
    const requestId = `${options.id}/${incarnation}/${attemptId}`
    time.after(0, () => deliverToIncarnation(expectedIncarnation, { type: 'attempt-written', attemptId }))
    cancelActions.set(attemptId, () => time.after(delay, () => peer.deliver({ type: 'request-cancelled', requestId })))
    time.after(delay, () => {
      if (!peer.alive()) {
        time.after(CONNECT_TIMEOUT_MS, () => deliverToIncarnation(expectedIncarnation, { type: 'attempt-failed', attemptId, truncated: false }))
        return
      }
      const { originZone, tenant, keyHome, timeoutMs } = command
      const forwarded = { instanceId: options.id, originZone, tenant, keyHome }
      peer.accept({ ...arrival, requestId, timeoutMs, forwarded }, {
        ...exchange,
        onEnd: result => {
          const headroom = peer.engine.headroom(arrival.service)
          time.after(delay, () => deliverForwardResult(expectedIncarnation, attemptId, result, headroom))
        }
      })
    })
  }

  function deliverForwardResult (expectedIncarnation: number, attemptId: string, result: ExchangeResult, headroom: Headroom | undefined): void {
    if (result.type === 'answered') deliverAnswer(expectedIncarnation, attemptId, headroom)
    else if (result.type === 'refused') {
      deliverToIncarnation(expectedIncarnation, { type: 'attempt-refused', attemptId, proof: 'shed', ...(headroom === undefined ? {} : { headroom }) })
    } else deliverToIncarnation(expectedIncarnation, { type: 'attempt-failed', attemptId, truncated: false })
  }

  let arrivals = new Map<string, RequestArrived>()

  const commandHandlers: CommandHandlers = {
    dispatch,
    forward,
    'cancel-attempt': command => {
      cancelActions.get(command.attemptId)?.()
      cancelActions.delete(command.attemptId)
    },
    relay: command => finishExchange(command.requestId, { type: 'answered', reason: command.reason }),
    replay: command => finishExchange(command.requestId, { type: 'answered', reason: 'replayed' }),
    respond: command => finishExchange(command.requestId, {
      type: command.outcome === 'not-run' ? 'refused' : 'unknown',
      reason: command.reason
    }),
    reset: command => finishExchange(command.requestId, { type: 'unknown', reason: command.reason }),
    'send-heartbeat': command => {
      const peer = options.findPeer(command.instanceId)
      if (peer === undefined || !peer.alive()) return
      const delay = delayMs(profile, options.zone, peer.zone)
      time.after(delay, () => peer.deliver({ type: 'heartbeat-received', heartbeat: command.heartbeat }))
    }
  }

  function dropExchanges (): readonly Exchange[] {
    const lost = [...exchanges.values()]
    exchanges = new Map()
    arrivals = new Map()
    cancelActions = new Map()
    return lost
  }

  return {
    id: options.id,
    zone: options.zone,
    get engine () { return engine },
    alive: () => alive,
    deliver,
    accept: (event, exchange) => {
      exchanges.set(event.requestId, {
        ...exchange,
        onEnd: result => {
          arrivals.delete(event.requestId)
          exchange.onEnd(result)
        }
      })
      arrivals.set(event.requestId, event)
      deliver(event)
    },
    crash: () => {
      alive = false
      const lost = dropExchanges()
      time.after(CONNECT_TIMEOUT_MS, () => {
        for (const exchange of lost) exchange.onEnd({ type: 'unknown', reason: 'instance-lost' })
      })
    },
    restart: () => {
      engine = startEngine()
      alive = true
    }
  }
}
