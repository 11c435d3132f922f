/**
 * Follows the platform: watches the configuration object and reads the instance list. When the platform is down or
 * slow, calls back off with jitter and serving goes on with what is known.
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

/** A missing configuration object is asked for again after this time, in milliseconds. */
const MISSING_CONFIGURATION_RETRY_MS = 1_000
/** An instance that does not watch looks this often whether it has to, in milliseconds. */
const POLLING_CHECK_PERIOD_MS = 1_000
/** It reads the object itself after this time, in case that no peer has told it of a version, in milliseconds. */
const UNWATCHED_READ_PERIOD_MS = 60_000

/** Client blocks are optional; a platform that answers a watch of a missing object at once is asked this often. */
const MISSING_CLIENT_BLOCKS_RETRY_MS = 10_000

export interface PlatformSync {
  /** The last call of each kind succeeded, so the newest version is known. */
  readonly isReachable: () => boolean
  /** Repeats failed calls without waiting for their back-off. */
  readonly retryNow: () => void
  readonly stop: () => void
}

export interface PlatformSyncOptions {
  readonly platform: Pick<ObjectStore, 'get' | 'watch'> & InstanceList
  readonly emit: Emit
  /** Which calls this instance makes. */
  readonly polling: () => PlatformPolling
  readonly onClientBlocks: (table: BlockTable) => void
  readonly telemetry: Telemetry
}

/** Starts the loops. */
export function startPlatformSync (options: PlatformSyncOptions): PlatformSync {
  const { platform, emit, polling, telemetry } = options
  const calls = createPlatformCallLoops(telemetry)
  let clientBlocksVersion = 0
  let configurationObjectVersion = 0
  let lastReadSucceeded = false
  let lastReadAt = -Infinity

  /** Reads the object first: a watch of an object that does not exist yet would only answer after its limit. */
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
      // A new platform holds no configuration; the first change starts from version 0.
      emit({ type: 'configuration-received', configuration: EMPTY_CONFIGURATION, source: 'platform' })
      if (lastReadSucceeded) await calls.pause(MISSING_CONFIGURATION_RETRY_MS)
      lastReadSucceeded = true
      return ok(undefined)
    }
    // After a failure the object is read again: a watch would show only at its end that the platform has recovered.
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
    // Peers do not pass client blocks on, so an instance that does not watch reads them now and then.
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
