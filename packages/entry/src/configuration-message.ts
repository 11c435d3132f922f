/**
 * Encodes and decodes the configuration and its changes as the JSON bytes in the replies of `PullConfiguration`.
 */
import { applyChanges, changesSince, formatProblem } from '@arbutustray/core'
import type { Change, Configuration } from '@arbutustray/core'
import { formatPlatformError, parseConfiguration } from '@arbutustray/object-store'
import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { decodeJson, encodeJson } from './json-bytes.js'

const Changes = z.array(z.looseObject({ version: z.int().positive(), changeId: z.string(), operations: z.array(z.looseObject({})) }))

const EMPTY = new Uint8Array()

/** Encodes the changes since a version if all of them are available, and the whole configuration otherwise. */
export function encodeDifference (
  configuration: Configuration, sinceVersion: number
): { readonly configuration: Uint8Array, readonly changes: Uint8Array } {
  const changes = sinceVersion === 0 ? undefined : changesSince(configuration, sinceVersion)
  return changes === undefined
    ? { configuration: encodeJson(configuration), changes: EMPTY }
    : { configuration: EMPTY, changes: encodeJson(changes) }
}

/** Decodes a whole configuration. The error describes the first problem in plain text. */
export function decodeConfiguration (bytes: Uint8Array): Result<Configuration, string> {
  return parseConfiguration(decodeJson(bytes)).mapErr(formatPlatformError)
}

/** Decodes changes and applies them to `base`, the configuration that they follow. The error is plain text. */
export function decodeChanges (bytes: Uint8Array, base: Configuration): Result<Configuration, string> {
  const parsed = Changes.safeParse(decodeJson(bytes))
  if (!parsed.success) return err(`changes: ${parsed.error.issues[0].message}`)
  return applyChanges(base, parsed.data as unknown as readonly Change[])
    .mapErr(problems => problems.map(formatProblem).join('; '))
}
