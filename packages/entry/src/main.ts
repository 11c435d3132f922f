#!/usr/bin/env node
/**
 * Command line of the daemon: `arbutustray-entry SETTINGS`. Exits with 0 after a graceful shutdown (SIGTERM, SIGINT),
 * with 1 after an error and with 2 if the settings are unreadable or invalid.
 */
import { readFileSync } from 'node:fs'
import { entrySettingsSchema, formatSettingsError, parseSettings } from '@arbutustray/settings'
import type { EntrySettings } from '@arbutustray/settings'
import { startEntryInstance } from './entry-instance.js'

const EXIT_FAILURE = 1
const EXIT_INVALID_SETTINGS = 2

function fail (code: number, message: string): never {
  process.stderr.write(`${message}\n`)
  process.exit(code)
}

function loadSettings (fileName: string | undefined): EntrySettings {
  if (fileName === undefined) fail(EXIT_INVALID_SETTINGS, 'usage: arbutustray-entry SETTINGS')
  let text: string
  try {
    text = readFileSync(fileName, 'utf8')
  } catch (error) {
    fail(EXIT_INVALID_SETTINGS, `${fileName}: ${String(error)}`)
  }
  return parseSettings(text, fileName, entrySettingsSchema)
    .match(settings => settings, error => fail(EXIT_INVALID_SETTINGS, formatSettingsError(error)))
}

async function run (): Promise<void> {
  const started = startEntryInstance(loadSettings(process.argv[2]))
  let stopping = false
  const stop = (): void => {
    if (stopping) return
    stopping = true
    started.then(async entry => await entry.stop()).then(() => process.exit(0), error => fail(EXIT_FAILURE, String(error)))
  }
  // Registered before the start is complete; otherwise a signal in between would end the process abruptly.
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  await (await started).failed
}

run().catch(error => fail(EXIT_FAILURE, String(error)))
