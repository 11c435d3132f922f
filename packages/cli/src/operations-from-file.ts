/**
 * Reads a configuration file and compares it with the configuration in force.
 */
import type { Operation } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { OperatorClient, OperatorError } from './operator-client.js'
import { configurationFile } from '@arbutustray/settings'
import { err } from 'neverthrow'
import { diffConfiguration } from './diff-configuration.js'
import { readValidated } from './read-file.js'

/** The operations that the file needs. A text is a fault of the file. */
export async function operationsFromFile (
  fileName: string, client: OperatorClient
): Promise<Result<readonly Operation[], OperatorError | string>> {
  const file = await readValidated(fileName, configurationFile)
  if (file.isErr()) return err(file.error)
  const current = await client.configuration()
  return current.map(configuration => diffConfiguration(configuration, file.value))
}
