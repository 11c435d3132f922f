#!/usr/bin/env node
/**
 * Entry point of the `arbutustray` executable.
 */
import { createCli } from './create-cli.js'

await createCli().runExit(process.argv.slice(2))
