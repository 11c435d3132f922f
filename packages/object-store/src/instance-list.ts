/**
 * The platform's list of entry instances and upstreams. The list lags behind: a listed instance may already be
 * leaving or have ended.
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

/** Source of the platform's instance list. */
export interface InstanceList {
  readonly list: () => Promise<Result<readonly ListedInstance[], PlatformError>>
}

/** Validates a value as an instance list; the error is `malformed` and lists every mismatch. */
export function parseInstanceList (value: unknown): Result<readonly ListedInstance[], PlatformError> {
  const parsed = instanceListSchema.safeParse(value)
  return parsed.success ? ok(parsed.data) : err({ type: 'malformed', reason: z.prettifyError(parsed.error) })
}
