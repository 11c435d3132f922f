/**
 * In-memory object store and instance list with fault injection, for tests and for the platform stand-in. The faults
 * are those of the real platform: unreachable, slow, and writes that take effect although their reply is lost.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { InstanceList } from './instance-list.js'
import type { ObjectStore, StoredObject } from './object-store.js'
import type { PlatformError } from './platform-error.js'
import { monotonicNow } from '@arbutustray/core'
import { err, ok } from 'neverthrow'
import { delay } from './delay.js'

/** Fault injection switches. They can be changed at any time and apply to calls that start later. */
export interface MemoryPlatformSwitches {
  /** Every call fails without effect. */
  down: boolean
  /** Delay before each call takes effect, in milliseconds. */
  slowMs: number
  /** Number of further writes that take effect but lose their reply. */
  loseReplies: number
}

/** In-memory object store and instance list with fault injection. */
export interface MemoryPlatform extends ObjectStore, InstanceList {
  readonly switches: MemoryPlatformSwitches
  /** Listed instances by id. */
  readonly instances: Map<string, ListedInstance>
}

/** Time after which the platform ends a watch that saw no change. */
export const WATCH_LIMIT_MS = 25_000

const DOWN_ERROR: PlatformError = { type: 'unavailable', reason: 'the memory platform is down' }

/** Creates a platform without objects and instances. */
export function createMemoryPlatform (): MemoryPlatform {
  const switches: MemoryPlatformSwitches = { down: false, slowMs: 0, loseReplies: 0 }
  const objects = new Map<string, StoredObject>()
  const instances = new Map<string, ListedInstance>()
  const watchers = new Set<() => void>()

  async function applyWithFaults<T> (call: () => Result<T, PlatformError>): Promise<Result<T, PlatformError>> {
    if (switches.down) return err(DOWN_ERROR)
    if (switches.slowMs > 0) await delay(switches.slowMs)
    return call()
  }

  function write (name: string, value: unknown, expectedVersion: number): Result<number, PlatformError> {
    const currentVersion = objects.get(name)?.version ?? 0
    if (currentVersion !== expectedVersion) return err({ type: 'conflict', currentVersion })
    // Copied, so that later mutations by the caller don't change the stored value.
    objects.set(name, { version: expectedVersion + 1, value: structuredClone(value) })
    for (const wake of [...watchers]) wake()
    if (switches.loseReplies === 0) return ok(expectedVersion + 1)
    switches.loseReplies -= 1
    return err({ type: 'reply-lost', reason: 'reply dropped by the memory platform' })
  }

  /** Resolves at the next write of any object, when the signal is aborted, or after the limit. */
  async function waitForWrite (limitMs: number, signal: AbortSignal): Promise<void> {
    const waitEnd = new AbortController()
    const wake = (): void => waitEnd.abort()
    watchers.add(wake)
    signal.addEventListener('abort', wake)
    await delay(limitMs, waitEnd.signal)
    signal.removeEventListener('abort', wake)
    watchers.delete(wake)
  }

  async function watch (name: string, aboveVersion: number, signal: AbortSignal): Promise<Result<StoredObject | undefined, PlatformError>> {
    const deadlineAt = monotonicNow() + WATCH_LIMIT_MS
    for (;;) {
      const object = objects.get(name)
      if (switches.down) return err(DOWN_ERROR)
      if (object !== undefined && object.version > aboveVersion) {
        return await applyWithFaults(() => ok(objects.get(name) ?? object))
      }
      if (signal.aborted) return err({ type: 'unavailable', reason: 'aborted' })
      const remainingMs = deadlineAt - monotonicNow()
      if (remainingMs <= 0) return ok(undefined)
      await waitForWrite(remainingMs, signal)
    }
  }

  return {
    switches,
    instances,
    get: async name => await applyWithFaults(() => {
      const object = objects.get(name)
      return object === undefined ? err({ type: 'not-found' }) : ok(object)
    }),
    put: async (name, value, expectedVersion) => await applyWithFaults(() => write(name, value, expectedVersion)),
    watch,
    list: async () => await applyWithFaults(() => ok([...instances.values()]))
  }
}
