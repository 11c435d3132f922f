/**
 * Reads and validates the files that are passed to commands.
 */
import type { Plan } from '@arbutustray/core'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import { formatSettingsError, parseSettings } from '@arbutustray/settings'
import { err, ok } from 'neverthrow'
import { readFile } from 'node:fs/promises'

async function readText (fileName: string): Promise<Result<string, string>> {
  try {
    return ok(await readFile(fileName, 'utf8'))
  } catch (error) {
    return err(`${fileName}: ${(error as Error).message}`)
  }
}

/** Reads JSON with comments and validates it against a schema. The error is a message for the operator. */
export async function readValidated<S extends z.ZodType> (fileName: string, schema: S): Promise<Result<z.output<S>, string>> {
  return (await readText(fileName)).andThen(text => parseSettings(text, fileName, schema).mapErr(formatSettingsError))
}

/** Reads a plan that `plan --out` wrote. Only its shape is checked; the entry instance verifies it by its plan id. */
export async function readPlan (fileName: string): Promise<Result<Plan, string>> {
  return (await readText(fileName)).andThen(text => {
    try {
      const plan = JSON.parse(text)
      const isPlan = typeof plan?.planId === 'string' && Number.isInteger(plan.baseVersion) && Array.isArray(plan.operations)
      return isPlan ? ok(plan as Plan) : err(`${fileName}: expected a plan written by \`plan --out\``)
    } catch (error) {
      return err(`${fileName}: expected JSON: ${(error as Error).message}`)
    }
  })
}
