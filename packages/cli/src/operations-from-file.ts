/**
 * Reads a configuration file and compares it with the configuration in force.
 */
import type { Operation } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { OperatorClient, OperatorError } from './operator-client.js'
import { configurationFile } from '@arbutustray/settings'
import { err } from 'neverthrow'
import { difference } from './difference.js'
import { readChecked } from './read-file.js'

/** The operations that the file needs. A text is a fault of the file. */
export async function fileOperations (
  fileName: string, client: OperatorClient
): Promise<Result<readonly Operation[], OperatorError | string>> {
  const file = await readChecked(fileName, configurationFile)
  if (file.isErr()) return err(file.error)
  const current = await client.configuration()
  return current.map(configuration => difference(configuration, file.value))
}
