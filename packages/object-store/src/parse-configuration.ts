/**
 * Checks that a stored value has the shape of a configuration, so that a foreign object under its name is an error
 * at this boundary and not inside the engine. Rows were checked when the change was planned.
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

/** Returns the value as a configuration, or `malformed` with the first difference. */
export function parseConfiguration (value: unknown): Result<Configuration, PlatformError> {
  const parsed = configurationSchema.safeParse(value)
  if (parsed.success) return ok(value as Configuration)
  const issue = parsed.error.issues[0]
  return err({ type: 'malformed', reason: `configuration: ${issue?.path.join('.')}: ${issue?.message}` })
}
