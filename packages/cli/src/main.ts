#!/usr/bin/env node
/**
 * Process of the command line.
 */
import { createCli } from './create-cli.js'

await createCli().runExit(process.argv.slice(2))
