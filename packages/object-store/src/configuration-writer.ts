/**
 * Commits configuration changes by conditional write, with retries until a deadline. If the reply to a write is lost,
 * the writer reads the stored configuration back to find out whether the change took effect. It returns `unknown` only
 * if it could not find out before the deadline.
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

/** A confirmed change that is to be applied on top of `baseVersion`. */
export interface PendingChange extends Omit<Change, 'version'> {
  readonly baseVersion: number
}

/** Why a commit did not succeed. */
export type CommitError =
  /** Another change was committed after the base version. `configuration` is the stored one. Nothing was written. */
  | { readonly type: 'conflict', readonly configuration: Configuration }
  /** The platform could not be reached. Nothing was written. */
  | { readonly type: 'unavailable', readonly reason: string }
  /** The change or the write is invalid, or the stored object is not a configuration. Nothing was written. */
  | { readonly type: 'rejected', readonly reason: string }
  /** A write was sent, and whether it took effect could not be determined. */
  | { readonly type: 'unknown', readonly reason: string }

/** Options of the writer; times in milliseconds. */
export interface ConfigurationWriterOptions {
  readonly store: ObjectStore
  /** Limit for one commit, after which it fails with `unavailable` or `unknown`. */
  readonly deadlineMs?: number
}

/** Commits changes. Committing a change id that is already stored returns the stored configuration. */
export interface ConfigurationWriter {
  readonly commit: (change: PendingChange) => Promise<Result<Configuration, CommitError>>
}

const DEFAULT_DEADLINE_MS = 5_000
const INITIAL_BACKOFF_MS = 50
// Retries are spaced out because every call counts against the platform's rate limit, even while it is down.
const MAX_BACKOFF_MS = 500

/** The stored configuration and the version of its object. */
interface StoredConfiguration {
  readonly configuration: Configuration
  /** Version that the platform gave the object; it may differ from the configuration's own version. */
  readonly objectVersion: number
}

type CommitResult = Result<Configuration, CommitError>

/** Returns `reply-lost` if the call has no result at the deadline. The call isn't cancelled and may still take effect. */
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

/** Creates a writer that keeps the configuration in an object store. */
export function createConfigurationWriter (options: ConfigurationWriterOptions): ConfigurationWriter {
  const { store } = options
  const deadlineMs = options.deadlineMs ?? DEFAULT_DEADLINE_MS

  async function commit (change: PendingChange): Promise<CommitResult> {
    const deadlineAt = monotonicNow() + deadlineMs
    const { baseVersion, ...rest } = change
    const versionedChange: Change = { ...rest, version: baseVersion + 1 }
    // True once a write was sent without a reply. From then on, only the stored configuration shows whether it took effect.
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
      // Fails if the stored version is older than the base, because the write would roll the configuration back.
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
