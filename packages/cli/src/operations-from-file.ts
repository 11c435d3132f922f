/**
 * Reads a configuration file and compares it with the configuration in force.
 */
import type { Operation } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { OperatorClient, OperatorError } from './operator-client.js'
import { configurationFileSchema } from '@arbutustray/settings'
import { err } from 'neverthrow'
import { diffConfiguration } from './diff-configuration.js'
import { readValidated } from './read-file.js'

/**
 * Computes the operations that turn the configuration in force into that of the file. An error of type `string`
 * describes what is wrong with the file; an `OperatorError` means that the configuration in force could not be read.
 */
export async function operationsFromFile (
  fileName: string, client: OperatorClient
): Promise<Result<readonly Operation[], OperatorError | string>> {
  const file = await readValidated(fileName, configurationFileSchema)
  if (file.isErr()) return err(file.error)
  const current = await client.configuration()
  return current.map(configuration => diffConfiguration(configuration, file.value))
}
