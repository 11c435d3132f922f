/**
 * Runs calls to the platform in loops. Failed calls are retried with exponential back-off and jitter.
 */
import { randomInt } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { formatPlatformError } from '@arbutustray/object-store'
import type { PlatformError } from '@arbutustray/object-store'
import type { Telemetry } from '@arbutustray/telemetry'
import type { Result } from 'neverthrow'

const INITIAL_BACKOFF_MS = 500
const MAX_BACKOFF_MS = 10_000

/** Makes one call. Resolves to `undefined` if no call was necessary. */
export type PlatformCall = () => Promise<Result<unknown, PlatformError> | undefined>

export interface PlatformCallLoops {
  /** Aborted by `stop`. */
  readonly signal: AbortSignal
  /** Repeats a call until `stop`, with a pause of `pauseMs` after each success. */
  readonly startLoop: (call: string, pauseMs: () => number, run: PlatformCall) => void
  readonly pause: (ms: number) => Promise<void>
  /** Whether the last call of this name failed. */
  readonly isFailing: (call: string) => boolean
  /** Ends all pauses, so that failed calls are retried at once. */
  readonly retryNow: () => void
  readonly stop: () => void
}

/** Creates the state that the loops share; `startLoop` starts them. */
export function createPlatformCallLoops (telemetry: Telemetry): PlatformCallLoops {
  const abort = new AbortController()
  const failing = new Set<string>()

  const activePauses = new Set<AbortController>()

  async function pause (ms: number): Promise<void> {
    if (ms <= 0 || abort.signal.aborted) return
    const pauseAbort = new AbortController()
    activePauses.add(pauseAbort)
    await sleep(ms, undefined, { signal: pauseAbort.signal, ref: false }).catch(() => {})
    activePauses.delete(pauseAbort)
  }

  function retryNow (): void {
    for (const pauseAbort of activePauses) pauseAbort.abort()
  }

  async function runLoop (call: string, pauseMs: () => number, run: PlatformCall): Promise<void> {
    let backoffMs = INITIAL_BACKOFF_MS
    while (!abort.signal.aborted) {
      const result = await run()
      if (abort.signal.aborted) return
      if (result === undefined) {
        await pause(pauseMs())
        continue
      }
      telemetry.metrics.increment('arbutustray_platform_calls_total', { call, result: result.isOk() ? 'ok' : 'error' })
      if (result.isOk()) {
        if (failing.delete(call)) telemetry.log('platform-available', { call })
        backoffMs = INITIAL_BACKOFF_MS
        await pause(pauseMs())
        continue
      }
      // Half of the time is random, so that the instances don't all return at once when the platform recovers.
      const retryMs = Math.round(backoffMs / 2) + randomInt(Math.round(backoffMs / 2))
      if (!failing.has(call)) telemetry.log('platform-unavailable', { call, error: formatPlatformError(result.error), retryMs })
      failing.add(call)
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2)
      await pause(retryMs)
    }
  }

  return {
    signal: abort.signal,
    startLoop: (call, pauseMs, run) => {
      runLoop(call, pauseMs, run).catch(error => telemetry.log('engine-fault', { event: call, error: String(error) }))
    },
    pause,
    isFailing: call => failing.has(call),
    retryNow,
    stop: () => {
      abort.abort()
      retryNow()
    }
  }
}
