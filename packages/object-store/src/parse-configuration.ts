/**
 * Checks that a stored value has the structure of a configuration, so that an unrelated object under its name is
 * rejected here and does not fail later inside the engine. Rows are not checked again: planning a change checks them.
 */
import type { Configuration } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { PlatformError } from './platform-error.js'
import { err, ok } from 'neverthrow'
import { z } from 'zod'

const rowsSchema = z.array(z.looseObject({}))

const configurationSchema = z.object({
  version: z.int().nonnegative(),
  recent: z.array(z.looseObject({ version: z.int().positive(), changeId: z.string() })),
  regions: rowsSchema,
  zones: rowsSchema,
  services: rowsSchema,
  places: rowsSchema,
  rules: rowsSchema,
  links: rowsSchema,
  drains: rowsSchema
})

/** Validates a value as a configuration; the error is `malformed` and names the first mismatch. */
export function parseConfiguration (value: unknown): Result<Configuration, PlatformError> {
  const parsed = configurationSchema.safeParse(value)
  if (parsed.success) return ok(value as Configuration)
  const issue = parsed.error.issues[0]
  return err({ type: 'malformed', reason: `configuration: ${issue?.path.join('.')}: ${issue?.message}` })
}
