/**
 * The platform's list of entry instances and upstreams. It lags: an entry may have ended or be leaving already.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { PlatformError } from './platform-error.js'

/** Reads the list. */
export interface InstanceList {
  readonly list: () => Promise<Result<readonly ListedInstance[], PlatformError>>
}
