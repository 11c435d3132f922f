/**
 * Reads and writes `results/policy.json`, the saved result of the policy benchmark that later runs are compared with.
 */
import { readFile, writeFile } from 'node:fs/promises'
import type { UserFigures } from './scenarios.js'
import { SYSTEM_POLICY } from './replay.js'

/** p99 of short requests in milliseconds, by user and setting. */
export type PreviousResult = Readonly<Record<string, Readonly<Record<string, number>>>>

const RESULT_FILE = new URL('../../results/policy.json', import.meta.url)

/** Reads the saved result, or an empty one if the file does not exist. */
export async function readPreviousResult (): Promise<PreviousResult> {
  try {
    return JSON.parse(await readFile(RESULT_FILE, 'utf8')) as PreviousResult
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code === 'ENOENT') return {}
    throw error
  }
}

/** Saves the p99 latencies of the policy under test. */
export async function writeResult (users: Readonly<Record<string, UserFigures>>): Promise<void> {
  const result = Object.fromEntries(Object.entries(users).map(([name, { p99 }]) => [name, p99[SYSTEM_POLICY]]))
  await writeFile(RESULT_FILE, `${JSON.stringify(result, undefined, 2)}\n`)
}
