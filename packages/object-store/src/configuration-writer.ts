/**
 * Commits changes of the configuration by conditional write. A write whose reply was lost is settled by reading
 * back: a caller is told `unknown` only if the store could not be read before the deadline.
 */
import type { Change, Configuration } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { ObjectStore } from './object-store.js'
import type { PlatformError } from './platform-error.js'
import { EMPTY_CONFIGURATION, monotonicNow, applyChange, formatProblem, determineWriteOutcome } from '@arbutustray/core'
import { err, ok } from 'neverthrow'
import { parseConfiguration } from './parse-configuration.js'
import { delay } from './delay.js'
import { formatPlatformError } from './platform-error.js'

/** Name of the object that holds the whole configuration. */
export const CONFIGURATION_OBJECT = 'configuration'

/** A change that was confirmed against a base version. */
export interface PendingChange extends Omit<Change, 'version'> {
  readonly baseVersion: number
}

/** Why a change has no confirmed effect. */
export type CommitError =
  /** Another change took the version after the base; `configuration` is the newest one. Nothing was written. */
  | { readonly type: 'conflict', readonly configuration: Configuration }
  /** The platform could not be reached. Nothing was written. */
  | { readonly type: 'unavailable', readonly reason: string }
  /** The platform does not accept the change, or holds no usable configuration. Nothing was written. */
  | { readonly type: 'rejected', readonly reason: string }
  /** A write was sent and could not be settled before the deadline. */
  | { readonly type: 'unknown', readonly reason: string }

/** Options of the writer; times in milliseconds. */
export interface ConfigurationWriterOptions {
  readonly store: ObjectStore
  /** Time for one commit, after which it is answered as it stands. */
  readonly deadlineMs?: number
}

/** Commits changes. A change id that was written before is answered with the stored configuration. */
export interface ConfigurationWriter {
  readonly commit: (change: PendingChange) => Promise<Result<Configuration, CommitError>>
}

const DEFAULT_DEADLINE_MS = 5_000
const INITIAL_BACKOFF_MS = 50
// Every call counts against the platform's rate limit, also while it is down.
const MAX_BACKOFF_MS = 500

interface StoredConfiguration {
  readonly configuration: Configuration
  /** The platform's version of the object, which need not equal the configuration's version. */
  readonly objectVersion: number
}

type CommitResult = Result<Configuration, CommitError>

/** Ends the wait for a call at a time; the call itself may still take effect. */
async function withDeadline<T> (deadlineAt: number, call: Promise<Result<T, PlatformError>>): Promise<Result<T, PlatformError>> {
  const timer = new AbortController()
  const timeout = delay(Math.max(0, deadlineAt - monotonicNow()), timer.signal)
    .then(() => err<T, PlatformError>({ type: 'reply-lost', reason: 'no reply before the deadline' }))
  try {
    return await Promise.race([call, timeout])
  } finally {
    timer.abort()
  }
}

async function readCurrent (store: ObjectStore): Promise<Result<StoredConfiguration, PlatformError>> {
  const object = await store.get(CONFIGURATION_OBJECT)
  if (object.isErr()) {
    return object.error.type === 'not-found' ? ok({ configuration: EMPTY_CONFIGURATION, objectVersion: 0 }) : err(object.error)
  }
  return parseConfiguration(object.value.value)
    .map(configuration => ({ configuration, objectVersion: object.value.version }))
}

/** Creates a writer over an object store. */
export function createConfigurationWriter (options: ConfigurationWriterOptions): ConfigurationWriter {
  const { store } = options
  const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS

  async function commit (change: PendingChange): Promise<CommitResult> {
    const deadlineAt = monotonicNow() + deadlineMs
    const { baseVersion, ...rest } = change
    const versionedChange: Change = { ...rest, version: baseVersion + 1 }
    // Set once a write was sent whose effect isn't known; from then on only the stored configuration can tell.
    let isWriteInDoubt = false
    let reason = 'deadline passed'

    const failed = (type: 'unavailable' | 'rejected'): CommitResult => err({ type: isWriteInDoubt ? 'unknown' : type, reason })

    async function attempt (): Promise<CommitResult | undefined> {
      const read = await withDeadline(deadlineAt, readCurrent(store))
      if (read.isErr()) {
        reason = formatPlatformError(read.error)
        return read.error.type === 'malformed' ? failed('rejected') : undefined
      }
      const { configuration, objectVersion } = read.value
      const outcome = determineWriteOutcome(configuration, versionedChange)
      if (outcome === 'applied') return ok(configuration)
      if (outcome === 'lost') return err({ type: 'conflict', configuration })
      if (outcome === 'unknown') {
        if (!isWriteInDoubt) return err({ type: 'conflict', configuration })
        reason = 'the changes after the base version are no longer stored'
        return failed('rejected')
      }
      if (monotonicNow() >= deadlineAt) return undefined
      // Fails if the store is older than the base, because writing would roll the configuration back.
      const next = applyChange(configuration, versionedChange)
      if (next.isErr()) {
        reason = next.error.map(formatProblem).join('; ')
        return failed('rejected')
      }
      const written = await withDeadline(deadlineAt, store.put(CONFIGURATION_OBJECT, next.value, objectVersion))
      if (written.isOk()) return ok(next.value)
      reason = formatPlatformError(written.error)
      if (written.error.type === 'reply-lost') isWriteInDoubt = true
      return written.error.type === 'malformed' ? failed('rejected') : undefined
    }

    for (let backoffMs = INITIAL_BACKOFF_MS; ; backoffMs = Math.min(2 * backoffMs, MAX_BACKOFF_MS)) {
      const result = await attempt()
      if (result !== undefined) return result
      const remainingMs = deadlineAt - monotonicNow()
      if (remainingMs <= 0) return failed('unavailable')
      await delay(Math.min(backoffMs, remainingMs))
    }
  }

  return { commit }
}
