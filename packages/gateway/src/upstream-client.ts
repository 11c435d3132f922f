/**
 * Sends requests to upstreams over undici, with one connection pool for each upstream, and runs health probes, each on a
 * connection of its own.
 */
import type { Cancel, Dispatch, Probe, SteeringEvent } from '@arbutustray/steering'
import type { Telemetry } from '@arbutustray/telemetry'
import type { Dispatcher } from 'undici'
import type { AnswerMemory } from './answer-memory.js'
import type { Connector } from './connector.js'
import type { Dialect } from './dialect.js'
import type { HttpExchange } from './http-exchange.js'
import { Pool, request } from 'undici'
import { firstValue } from '@arbutustray/http'
import { AttemptHandler } from './attempt-handler.js'
import { createConnector } from './connector.js'
import { parseWholeNumber, removeTeamHeaders } from './message-headers.js'
import { parseStatements } from './parse-statements.js'

export interface UpstreamClientOptions {
  readonly dialect: Dialect
  readonly exchanges: ReadonlyMap<string, HttpExchange>
  readonly answerMemory: AnswerMemory
  readonly emit: (event: SteeringEvent) => void
  readonly telemetry: Pick<Telemetry, 'metrics'>
  /** Whether the current deployment has teams. */
  readonly hasTeams: () => boolean
}

export interface UpstreamClient {
  readonly dispatch: (command: Dispatch) => void
  readonly cancel: (command: Cancel) => void
  readonly probe: (command: Probe) => void
  /** Closes the pool of a removed upstream after its running attempts have ended. */
  readonly removeUpstream: (upstreamId: string) => void
  readonly close: () => Promise<void>
}

interface UpstreamPool {
  readonly address: string
  readonly pool: Pool
  readonly connector: Connector
}

/** Idle timeout of a connection if the upstream does not state one. */
const DEFAULT_KEEP_ALIVE_MS = 4_000
const PROBE_TIMEOUT_MS = 1_000

export function createUpstreamClient (options: UpstreamClientOptions): UpstreamClient {
  const { dialect, exchanges, answerMemory, emit, telemetry } = options
  const attempts = new Map<string, AttemptHandler>()
  const pools = new Map<string, UpstreamPool>()

  function getOrCreatePool (upstreamId: string, address: string, zone: string): UpstreamPool {
    const existing = pools.get(upstreamId)
    if (existing?.address === address) return existing
    existing?.pool.close().catch(() => {})
    const connector = createConnector(roundTripMs => emit({ type: 'zone-reached', zone, roundTripMs }))
    const pool = new Pool(`http://${address}`, {
      connect: connector.open as never, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: DEFAULT_KEEP_ALIVE_MS
    })
    const created = { address, pool, connector }
    pools.set(upstreamId, created)
    return created
  }

  function requestOptions (command: Dispatch, exchange: HttpExchange): Dispatcher.DispatchOptions {
    // The first deployment with teams may have arrived after the request.
    const headers = exchange.hasTeamHeaders && options.hasTeams() ? removeTeamHeaders(exchange.headers, dialect.headers) : exchange.headers
    return {
      path: exchange.request.url ?? '/',
      method: exchange.request.method as Dispatcher.HttpMethod,
      headers: headers.concat(
        dialect.headers.deadline, String(Math.max(1, Math.floor(command.timeoutMs))),
        dialect.headers.expectedUpstream, command.upstreamId,
        ...(command.team === undefined ? [] : [dialect.headers.team, command.team])
      ),
      body: exchange.body ?? null,
      reset: command.singleUse
    }
  }

  async function runProbe ({ upstreamId, address, healthPath }: Probe): Promise<void> {
    const connector = createConnector(() => {})
    const pool = new Pool(`http://${address}`, { connect: connector.open as never, connections: 1 })
    const failed: SteeringEvent = { type: 'upstream-probed', upstreamId, healthy: false, answeredBy: undefined, coldMs: 0 }
    try {
      const { statusCode, headers, body } = await request(`http://${address}${healthPath}`, {
        dispatcher: pool, signal: AbortSignal.timeout(PROBE_TIMEOUT_MS), headers: { [dialect.headers.expectedUpstream]: upstreamId }
      })
      await body.dump()
      emit({
        type: 'upstream-probed',
        upstreamId,
        healthy: statusCode === 200,
        answeredBy: firstValue(headers[dialect.headers.answeringUpstream]),
        coldMs: parseWholeNumber(firstValue(headers[dialect.headers.coldTime])) ?? 0,
        ...parseStatements(statusCode, headers, dialect)
      })
    } catch {
      // Not logged here: the engine counts the failure and reports a change of the upstream's state.
      emit(failed)
    } finally {
      await pool.destroy()
    }
  }

  return {
    dispatch: command => {
      const exchange = exchanges.get(command.requestId)
      const { attemptId } = command
      if (exchange === undefined) return emit({ type: 'attempt-refused', attemptId, cause: 'unsent' })
      const { pool, connector } = getOrCreatePool(command.upstreamId, command.address, command.zone)
      const attempt = new AttemptHandler({
        command,
        exchange,
        dialect,
        answerMemory,
        isHandlingReset: connector.isHandlingReset,
        emit,
        onEnd: (end, detail) => {
          attempts.delete(attemptId)
          exchange.decisionLog.push(`${command.upstreamId} ${end} ${detail}`)
          telemetry.metrics.increment('arbutustray_attempts_total', { target: 'upstream', end })
        }
      })
      attempts.set(attemptId, attempt)
      pool.dispatch(requestOptions(command, exchange), attempt)
    },
    cancel: ({ attemptId }) => attempts.get(attemptId)?.cancel(),
    probe: command => { runProbe(command).catch(() => {}) },
    removeUpstream: upstreamId => {
      const existing = pools.get(upstreamId)
      pools.delete(upstreamId)
      existing?.pool.close().catch(() => {})
    },
    close: async () => {
      await Promise.all([...pools.values()].map(async ({ pool }) => await pool.destroy()))
    }
  }
}
