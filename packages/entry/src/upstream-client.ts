/**
 * Starts, relays and cancels attempts over undici pools, one pool for each address.
 */
import type { CancelAttempt, Dispatch, Forward, Relay } from '@arbutustray/core'
import type { HopName, Telemetry } from '@arbutustray/telemetry'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { Attempt } from './attempt.js'
import type { AttemptTarget } from './attempt.js'
import type { Emit } from './event-source.js'
import type { Exchange } from './exchange.js'
import { HEADER } from './headers.js'

/** Time in which a connection must be made, in milliseconds. A failure before the write can be tried elsewhere. */
const CONNECT_TIMEOUT_MS = 1_000

/** A pool that was not used for this long is closed, in milliseconds. */
const POOL_IDLE_MS = 60_000

const FORWARD_PREFIX = '/v1/forward/'

export interface UpstreamClientOptions {
  readonly instanceId: string
  readonly peerToken: string
  /** Time without a byte after which an answer counts as broken, in milliseconds. */
  readonly idleTimeoutMs: number
  readonly exchanges: ReadonlyMap<string, Exchange>
  /** Name of the refusal header of a service. */
  readonly refusalHeader: (service: string) => string
  readonly emit: Emit
  readonly telemetry: Telemetry
}

export interface UpstreamClient {
  readonly dispatch: (command: Dispatch) => void
  readonly forward: (command: Forward) => void
  readonly cancel: (command: CancelAttempt) => void
  readonly relay: (command: Relay) => void
  /** Closes all connections at once. */
  readonly close: () => Promise<void>
}

interface PoolEntry {
  readonly pool: Pool
  usedAt: number
  live: number
}

/** What differs between an upstream and another entry instance. */
interface Route {
  readonly target: AttemptTarget
  readonly hop: HopName
  /** Part of the URL before the service; empty for upstreams, which don't see the service. */
  readonly prefix: string
  readonly headers: readonly string[]
}

const NO_HEADERS: readonly string[] = []

/** Creates the client for attempts. */
export function createUpstreamClient (options: UpstreamClientOptions): UpstreamClient {
  const attempts = new Map<string, Attempt>()
  const pools = new Map<string, PoolEntry>()
  const sweep = setInterval(closeIdlePools, POOL_IDLE_MS / 2).unref()

  function closeIdlePools (): void {
    for (const [address, entry] of pools) {
      if (entry.live > 0 || performance.now() - entry.usedAt < POOL_IDLE_MS) continue
      pools.delete(address)
      entry.pool.close().catch(() => {})
    }
  }

  function poolFor (address: string): PoolEntry {
    let entry = pools.get(address)
    if (entry === undefined) {
      // The engine cancels attempts at their deadline, so undici needs no time limit for the head of an answer.
      const pool = new Pool(`http://${address}`, {
        connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: options.idleTimeoutMs
      })
      entry = { pool, usedAt: 0, live: 0 }
      pools.set(address, entry)
    }
    entry.usedAt = performance.now()
    return entry
  }

  function start (command: Dispatch | Forward, route: Route): void {
    const { attemptId } = command
    const exchange = options.exchanges.get(command.requestId)
    if (exchange === undefined) return options.emit({ type: 'attempt-refused', attemptId, proof: 'not-written' })
    const { body } = exchange.options
    if (body.type === 'streamed' && body.consumed()) {
      // An earlier attempt may have run, so the engine decides on the outcome.
      return options.emit({ type: 'attempt-refused', attemptId, proof: 'not-written', bodyConsumed: true })
    }
    const entry = poolFor(command.address)
    const hop = options.telemetry.traces.startHop(route.hop, exchange.options.hop.traceparent)
    const attempt = new Attempt({
      attemptId,
      exchange,
      target: route.target,
      refusalHeader: options.refusalHeader(exchange.options.service),
      hop,
      timeoutMs: command.timeoutMs,
      emit: options.emit,
      telemetry: options.telemetry,
      onEnd: () => {
        entry.live -= 1
        attempts.delete(attemptId)
      }
    })
    entry.live += 1
    attempts.set(attemptId, attempt)
    entry.pool.dispatch(dispatchOptions(command, route, exchange, hop.traceparent), attempt)
  }

  return {
    dispatch: command => start(command, {
      target: { type: 'upstream', id: command.upstreamId }, hop: 'attempt', prefix: '', headers: NO_HEADERS
    }),
    forward: command => start(command, {
      target: { type: 'instance', id: command.instanceId },
      hop: 'forward',
      prefix: FORWARD_PREFIX,
      headers: [
        HEADER.forwardedBy, options.instanceId,
        HEADER.originZone, command.originZone,
        HEADER.tenant, command.tenant,
        HEADER.keyHome, String(command.keyHome),
        HEADER.peerToken, options.peerToken
      ]
    }),
    cancel: command => attempts.get(command.attemptId)?.cancel(),
    relay: command => attempts.get(command.attemptId)?.relay(command.reason),
    close: async () => {
      clearInterval(sweep)
      await Promise.all([...pools.values()].map(async ({ pool }) => await pool.destroy()))
    }
  }
}

function dispatchOptions (
  command: Dispatch | Forward, route: Route, exchange: Exchange, traceparent: string
): Dispatcher.DispatchOptions {
  const { method, target, service, headers, body, wireId } = exchange.options
  const timeoutMs = Math.max(0, Math.floor(command.timeoutMs))
  return {
    path: route.prefix === '' ? target : `${route.prefix}${service}${target}`,
    method: method as Dispatcher.HttpMethod,
    headers: headers.concat(
      route.headers, HEADER.requestId, wireId, HEADER.timeout, String(timeoutMs), HEADER.traceparent, traceparent
    ),
    body: body.type === 'none' ? null : body.type === 'buffered' ? body.bytes : body.open()
  }
}
