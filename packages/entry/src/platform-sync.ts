/**
 * Synchronises the instance with the platform: watches the configuration and the client blocks and polls the instance
 * list. While the platform is down or slow, calls are retried with back-off and the instance serves with its last known
 * state.
 */
import { EMPTY_CONFIGURATION } from '@arbutustray/core'
import { CONFIGURATION_OBJECT, formatPlatformError, parseConfiguration } from '@arbutustray/object-store'
import type { InstanceList, ObjectStore, PlatformError } from '@arbutustray/object-store'
import type { Telemetry } from '@arbutustray/telemetry'
import { ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { BlockTable, PlatformPolling } from '@arbutustray/core'
import { CLIENT_BLOCKS_OBJECT, loadClientBlocks } from './client-blocks.js'
import type { Emit } from './event-queue.js'
import { createPlatformCallLoops } from './platform-call-loops.js'

/** Pause before a missing configuration object is read again, in milliseconds. */
const MISSING_CONFIGURATION_RETRY_MS = 1_000
/** How often an instance that doesn't watch the configuration checks whether it now has to, in milliseconds. */
const POLLING_CHECK_PERIOD_MS = 1_000
/** How often such an instance reads the objects itself, in case no peer has sent it a new version, in milliseconds. */
const UNWATCHED_READ_PERIOD_MS = 60_000

/**
 * Pause before missing client blocks are read again, in milliseconds. They are optional, and a platform may answer the
 * watch of a missing object at once.
 */
const MISSING_CLIENT_BLOCKS_RETRY_MS = 10_000

export interface PlatformSync {
  /** Whether the last watch and the last read of the list succeeded, so that the newest version is known. */
  readonly isReachable: () => boolean
  /** Retries failed calls without waiting for their back-off. */
  readonly retryNow: () => void
  readonly stop: () => void
}

export interface PlatformSyncOptions {
  readonly platform: Pick<ObjectStore, 'get' | 'watch'> & InstanceList
  readonly emit: Emit
  /** Returns which calls this instance has to make now. */
  readonly polling: () => PlatformPolling
  readonly onClientBlocks: (table: BlockTable) => void
  readonly telemetry: Telemetry
}

/** Starts the synchronisation loops. */
export function startPlatformSync (options: PlatformSyncOptions): PlatformSync {
  const { platform, emit, polling, telemetry } = options
  const calls = createPlatformCallLoops(telemetry)
  let clientBlocksVersion = 0
  let configurationObjectVersion = 0
  let lastReadSucceeded = false
  let lastReadAt = -Infinity

  /** Reads the object before the first watch: the watch of a missing object would not answer before its time-out. */
  async function syncConfiguration (): Promise<Result<unknown, PlatformError> | undefined> {
    const mustWatch = polling().watchesConfiguration
    if (lastReadSucceeded && !mustWatch && performance.now() - lastReadAt < UNWATCHED_READ_PERIOD_MS) {
      await calls.pause(POLLING_CHECK_PERIOD_MS)
      return undefined
    }
    lastReadAt = performance.now()
    const result = lastReadSucceeded && mustWatch
      ? await platform.watch(CONFIGURATION_OBJECT, configurationObjectVersion, calls.signal)
      : await platform.get(CONFIGURATION_OBJECT)
    if (result.isErr() && result.error.type === 'not-found') {
      // A new platform has no configuration yet. The first change is based on version 0.
      emit({ type: 'configuration-received', configuration: EMPTY_CONFIGURATION, source: 'platform' })
      if (lastReadSucceeded) await calls.pause(MISSING_CONFIGURATION_RETRY_MS)
      lastReadSucceeded = true
      return ok(undefined)
    }
    // After a failure the object is read again, since a watch would show the recovery of the platform only at its end.
    lastReadSucceeded = result.isOk()
    if (result.isErr()) return result
    if (result.value === undefined) return result
    configurationObjectVersion = result.value.version
    parseConfiguration(result.value.value).match(
      configuration => emit({ type: 'configuration-received', configuration, source: 'platform' }),
      error => telemetry.log('configuration-unreadable', { source: 'platform', error: formatPlatformError(error) })
    )
    return result
  }

  async function pollInstanceList (): Promise<Result<unknown, PlatformError>> {
    const result = await platform.list()
    if (result.isOk()) emit({ type: 'list-received', entries: result.value })
    return result
  }

  async function syncClientBlocks (): Promise<Result<unknown, PlatformError>> {
    const mustWatch = polling().watchesConfiguration
    // Peers don't exchange client blocks, so an instance that doesn't watch reads them periodically.
    if (clientBlocksVersion > 0 && !mustWatch) await calls.pause(UNWATCHED_READ_PERIOD_MS)
    const index = mustWatch
      ? await platform.watch(CLIENT_BLOCKS_OBJECT, clientBlocksVersion, calls.signal)
      : await platform.get(CLIENT_BLOCKS_OBJECT)
    if (index.isErr() && index.error.type === 'not-found') {
      await calls.pause(MISSING_CLIENT_BLOCKS_RETRY_MS)
      return ok(undefined)
    }
    if (index.isErr() || index.value === undefined) return index
    const { version, value } = index.value
    if (version === clientBlocksVersion) return index
    const loaded = await loadClientBlocks(platform, value)
    if (loaded.isErr()) return loaded
    clientBlocksVersion = version
    telemetry.log('client-blocks-loaded', { blocks: loaded.value.size, skipped: loaded.value.skipped })
    options.onClientBlocks(loaded.value.table)
    return index
  }

  calls.startLoop('watch', () => 0, syncConfiguration)
  calls.startLoop('client-blocks', () => 0, syncClientBlocks)
  calls.startLoop('list', () => polling().listPollPeriodMs, pollInstanceList)
  return {
    isReachable: () => lastReadSucceeded && !calls.isFailing('watch') && !calls.isFailing('list'),
    retryNow: calls.retryNow,
    stop: calls.stop
  }
}
