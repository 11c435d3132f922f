/**
 * Interface to the platform's store of versioned objects. Concurrent changes are ordered only by its conditional
 * update: of two writes that expect the same version, at most one takes effect.
 */
import type { Result } from 'neverthrow'
import type { PlatformError } from './platform-error.js'

/** Largest value of an object, in bytes of JSON. */
export const MAX_VALUE_BYTES = 1_000_000

/** An object at one version. Versions start at 1 and increase with every write. */
export interface StoredObject {
  readonly version: number
  readonly value: unknown
}

/** Reads, conditionally replaces and watches versioned objects by name. */
export interface ObjectStore {
  readonly get: (name: string) => Promise<Result<StoredObject, PlatformError>>
  /**
   * Replaces the value if the object has the expected version, and returns the new version. An expected version of 0
   * means that the object must not exist yet.
   */
  readonly put: (name: string, value: unknown, expectedVersion: number) => Promise<Result<number, PlatformError>>
  /**
   * Waits until the object's version is above `aboveVersion` (long poll). `undefined` means that the platform ended
   * the wait without a change; the caller then calls again.
   */
  readonly watch: (
    name: string, aboveVersion: number, signal: AbortSignal
  ) => Promise<Result<StoredObject | undefined, PlatformError>>
}
