/**
 * Follows the platform: watches the configuration object and reads the instance list. When the platform is down or
 * slow, calls back off with jitter and serving goes on with what is known.
 */
import { randomInt } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { EMPTY_CONFIGURATION } from '@arbutustray/core'
import { CONFIGURATION_OBJECT, formatPlatformError, parseConfiguration } from '@arbutustray/platform'
import type { InstanceList, ObjectStore, PlatformError } from '@arbutustray/platform'
import type { Telemetry } from '@arbutustray/telemetry'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Emit } from './event-source.js'

/** Period of the list's reading, in milliseconds. */
const LIST_PERIOD_MS = 1_000

const FIRST_BACKOFF_MS = 500
const LONGEST_BACKOFF_MS = 10_000

export interface PlatformSync {
  /** The last call of each kind succeeded, so the newest version is known. */
  readonly reachable: () => boolean
  readonly stop: () => void
}

export interface PlatformSyncOptions {
  readonly platform: Pick<ObjectStore, 'get' | 'watch'> & InstanceList
  readonly emit: Emit
  readonly telemetry: Telemetry
}

/** Starts both loops. */
export function startPlatformSync (options: PlatformSyncOptions): PlatformSync {
  const { platform, emit, telemetry } = options
  const abort = new AbortController()
  const failing = new Set<string>()
  let objectVersion = 0
  let answered = false

  /** Repeats a call until the stop; `pauseMs` after a success, an increasing time after a failure. */
  async function repeat (call: string, pauseMs: number, run: () => Promise<Result<unknown, PlatformError>>): Promise<void> {
    let backoffMs = FIRST_BACKOFF_MS
    while (!abort.signal.aborted) {
      const result = await run()
      if (abort.signal.aborted) return
      telemetry.metrics.increment('arbutustray_platform_calls_total', { call, result: result.isOk() ? 'ok' : 'error' })
      if (result.isOk()) {
        if (failing.delete(call)) telemetry.log('platform-available', { call })
        backoffMs = FIRST_BACKOFF_MS
        await pause(pauseMs)
        continue
      }
      // Half of the time is random, so that instances do not return at once when the platform recovers.
      const retryMs = Math.round(backoffMs / 2) + randomInt(Math.round(backoffMs / 2))
      if (!failing.has(call)) telemetry.log('platform-unavailable', { call, error: formatPlatformError(result.error), retryMs })
      failing.add(call)
      backoffMs = Math.min(LONGEST_BACKOFF_MS, backoffMs * 2)
      await pause(retryMs)
    }
  }

  async function pause (ms: number): Promise<void> {
    if (ms > 0) await sleep(ms, undefined, { signal: abort.signal, ref: false }).catch(() => {})
  }

  /** Reads the object first: a watch of an object that does not exist yet would only answer after its limit. */
  async function follow (): Promise<Result<unknown, PlatformError>> {
    const result = answered
      ? await platform.watch(CONFIGURATION_OBJECT, objectVersion, abort.signal)
      : await platform.get(CONFIGURATION_OBJECT)
    if (result.isErr() && result.error.type === 'not-found') {
      // A new platform holds no configuration; the first change starts from version 0.
      emit({ type: 'configuration-received', configuration: EMPTY_CONFIGURATION, source: 'platform' })
      if (answered) await pause(LIST_PERIOD_MS)
      answered = true
      return ok(undefined)
    }
    if (result.isErr()) return result
    answered = true
    if (result.value === undefined) return result
    objectVersion = result.value.version
    parseConfiguration(result.value.value).match(
      configuration => emit({ type: 'configuration-received', configuration, source: 'platform' }),
      error => telemetry.log('configuration-unreadable', { source: 'platform', error: formatPlatformError(error) })
    )
    return result
  }

  async function list (): Promise<Result<unknown, PlatformError>> {
    const result = await platform.list()
    if (result.isOk()) emit({ type: 'list-received', entries: result.value })
    return result
  }

  repeat('watch', 0, follow).catch(error => telemetry.log('engine-fault', { event: 'watch', error: String(error) }))
  repeat('list', LIST_PERIOD_MS, list).catch(error => telemetry.log('engine-fault', { event: 'list', error: String(error) }))
  return {
    reachable: () => answered && failing.size === 0,
    stop: () => abort.abort()
  }
}
