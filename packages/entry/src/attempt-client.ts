/**
 * Executes the engine's commands about attempts: sends requests to upstreams and to other entry instances, relays their
 * answers and cancels attempts. Uses one undici pool for each address.
 */
import type { CancelAttempt, Dispatch, Forward, Relay } from '@arbutustray/core'
import type { HopName, Telemetry } from '@arbutustray/telemetry'
import { Pool } from 'undici'
import type { Dispatcher } from 'undici'
import { AttemptHandler } from './attempt-handler.js'
import type { AttemptTarget } from './attempt-handler.js'
import type { Emit } from './event-queue.js'
import type { CallerExchange } from './caller-exchange.js'
import { HEADER } from './headers.js'

/** Connect time-out, in milliseconds. A request whose connection fails was not written and can be retried elsewhere. */
const CONNECT_TIMEOUT_MS = 1_000

/** Time without an attempt after which a pool is closed, in milliseconds. */
const POOL_IDLE_TIMEOUT_MS = 60_000

const FORWARD_PREFIX = '/v1/forward/'

export interface AttemptClientOptions {
  readonly instanceId: string
  readonly peerToken: string
  /** Time without received data after which an answer counts as failed, in milliseconds. */
  readonly idleTimeoutMs: number
  readonly exchanges: ReadonlyMap<string, CallerExchange>
  /** Returns the lower-case name of the header by which upstreams of a service mark refusals. */
  readonly refusalHeader: (service: string) => string
  readonly emit: Emit
  readonly telemetry: Telemetry
}

export interface AttemptClient {
  readonly dispatch: (command: Dispatch) => void
  readonly forward: (command: Forward) => void
  readonly cancel: (command: CancelAttempt) => void
  readonly relay: (command: Relay) => void
  /** Closes all connections at once. */
  readonly close: () => Promise<void>
}

interface PoolEntry {
  readonly pool: Pool
  lastUsedAt: number
  activeAttempts: number
}

/** Parameters of an attempt that depend on whether it goes to an upstream or to another entry instance. */
interface NextHop {
  readonly target: AttemptTarget
  readonly hopName: HopName
  /** Part of the URL before the service; empty for upstreams, whose URLs don't contain the service. */
  readonly urlPrefix: string
  readonly headers: readonly string[]
}

const NO_HEADERS: readonly string[] = []

/** Creates the client for attempts. */
export function createAttemptClient (options: AttemptClientOptions): AttemptClient {
  const attempts = new Map<string, AttemptHandler>()
  const pools = new Map<string, PoolEntry>()
  const idlePoolTimer = setInterval(closeIdlePools, POOL_IDLE_TIMEOUT_MS / 2).unref()

  function closeIdlePools (): void {
    for (const [address, entry] of pools) {
      if (entry.activeAttempts > 0 || performance.now() - entry.lastUsedAt < POOL_IDLE_TIMEOUT_MS) continue
      pools.delete(address)
      entry.pool.close().catch(() => {})
    }
  }

  function poolFor (address: string): PoolEntry {
    let entry = pools.get(address)
    if (entry === undefined) {
      // The engine cancels attempts at their deadline, so no time-out for the headers of an answer is needed.
      const pool = new Pool(`http://${address}`, {
        connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: 0, bodyTimeout: options.idleTimeoutMs
      })
      entry = { pool, lastUsedAt: 0, activeAttempts: 0 }
      pools.set(address, entry)
    }
    entry.lastUsedAt = performance.now()
    return entry
  }

  function startAttempt (command: Dispatch | Forward, nextHop: NextHop): void {
    const { attemptId } = command
    const exchange = options.exchanges.get(command.requestId)
    if (exchange === undefined) return options.emit({ type: 'attempt-refused', attemptId, proof: 'not-written' })
    const { body } = exchange.options
    if (body.type === 'streamed' && body.isConsumed()) {
      // An earlier attempt may have been executed, so the engine decides on the outcome.
      return options.emit({ type: 'attempt-refused', attemptId, proof: 'not-written', bodyConsumed: true })
    }
    const entry = poolFor(command.address)
    const hop = options.telemetry.traces.startHop(nextHop.hopName, exchange.options.hop.traceparent)
    const attempt = new AttemptHandler({
      attemptId,
      exchange,
      target: nextHop.target,
      refusalHeader: options.refusalHeader(exchange.options.service),
      hop,
      timeoutMs: command.timeoutMs,
      emit: options.emit,
      telemetry: options.telemetry,
      onEnd: () => {
        entry.activeAttempts -= 1
        attempts.delete(attemptId)
      }
    })
    entry.activeAttempts += 1
    attempts.set(attemptId, attempt)
    entry.pool.dispatch(dispatchOptions(command, nextHop, exchange, hop.traceparent), attempt)
  }

  return {
    dispatch: command => startAttempt(command, {
      target: { type: 'upstream', id: command.upstreamId }, hopName: 'attempt', urlPrefix: '', headers: NO_HEADERS
    }),
    forward: command => startAttempt(command, {
      target: { type: 'instance', id: command.instanceId },
      hopName: 'forward',
      urlPrefix: FORWARD_PREFIX,
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
      clearInterval(idlePoolTimer)
      await Promise.all([...pools.values()].map(async ({ pool }) => await pool.destroy()))
    }
  }
}

function dispatchOptions (
  command: Dispatch | Forward, nextHop: NextHop, exchange: CallerExchange, traceparent: string
): Dispatcher.DispatchOptions {
  const { method, requestTarget, service, headers, body, forwardedRequestId } = exchange.options
  const timeoutMs = Math.max(0, Math.floor(command.timeoutMs))
  return {
    path: nextHop.urlPrefix === '' ? requestTarget : `${nextHop.urlPrefix}${service}${requestTarget}`,
    method: method as Dispatcher.HttpMethod,
    headers: headers.concat(
      nextHop.headers, HEADER.requestId, forwardedRequestId, HEADER.timeout, String(timeoutMs), HEADER.traceparent, traceparent
    ),
    body: body.type === 'none' ? null : body.type === 'buffered' ? body.bytes : body.openStream()
  }
}
