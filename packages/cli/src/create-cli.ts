/**
 * Builds the `arbutustray` command line from its commands.
 */
import { Builtins, Cli } from 'clipanion'
import { ApplyCommand } from './commands/apply.js'
import { ChangesCommand } from './commands/changes.js'
import { CheckCommand } from './commands/check.js'
import { ConfirmCommand } from './commands/confirm.js'
import { DrainCommand, UndrainCommand } from './commands/drain.js'
import { ExplainCommand } from './commands/explain.js'
import { LookupCommand } from './commands/lookup.js'
import { PlanCommand } from './commands/plan.js'
import { StatusCommand } from './commands/status.js'

const COMMANDS = [
  ApplyCommand, PlanCommand, ConfirmCommand, DrainCommand, UndrainCommand, StatusCommand, CheckCommand, ExplainCommand,
  ChangesCommand, LookupCommand
]

/** Creates the command line without running it. */
export function createCli (): Cli {
  const cli = new Cli({ binaryName: 'arbutustray', binaryLabel: 'arbutustray' })
  for (const command of [...COMMANDS, Builtins.HelpCommand]) cli.register(command)
  return cli
}
