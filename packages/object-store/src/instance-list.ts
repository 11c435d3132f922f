/**
 * The platform's list of entry instances and upstreams. It lags: an entry may have ended or be leaving already.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { PlatformError } from './platform-error.js'
import { err, ok } from 'neverthrow'
import { z } from 'zod'

const instanceListSchema = z.array(z.object({
  id: z.string(),
  role: z.enum(['entry', 'upstream']),
  service: z.string().optional(),
  zone: z.string(),
  address: z.string(),
  peerAddress: z.string().optional(),
  state: z.enum(['live', 'leaving'])
}))

/** Reads the list. */
export interface InstanceList {
  readonly list: () => Promise<Result<readonly ListedInstance[], PlatformError>>
}

/** Returns the value as a list, or `malformed` with the differences. */
export function parseInstanceList (value: unknown): Result<readonly ListedInstance[], PlatformError> {
  const parsed = instanceListSchema.safeParse(value)
  return parsed.success ? ok(parsed.data) : err({ type: 'malformed', reason: z.prettifyError(parsed.error) })
}
