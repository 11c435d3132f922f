/**
 * Conversion between a configuration and the bytes that peers exchange.
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

/** What a peer with `sinceVersion` needs: the changes if all are at hand, else the whole configuration. */
export function encodeDifference (
  configuration: Configuration, sinceVersion: number
): { readonly configuration: Uint8Array, readonly changes: Uint8Array } {
  const changes = sinceVersion === 0 ? undefined : changesSince(configuration, sinceVersion)
  return changes === undefined
    ? { configuration: encodeJson(configuration), changes: EMPTY }
    : { configuration: EMPTY, changes: encodeJson(changes) }
}

/** Reads a whole configuration. The error says what is wrong. */
export function decodeConfiguration (bytes: Uint8Array): Result<Configuration, string> {
  return parseConfiguration(decodeJson(bytes)).mapErr(formatPlatformError)
}

/** Applies changes to the configuration that they follow. The error says what is wrong. */
export function decodeChanges (bytes: Uint8Array, base: Configuration): Result<Configuration, string> {
  const parsed = Changes.safeParse(decodeJson(bytes))
  if (!parsed.success) return err(`changes: ${parsed.error.issues[0].message}`)
  return applyChanges(base, parsed.data as unknown as readonly Change[])
    .mapErr(problems => problems.map(formatProblem).join('; '))
}
