/**
 * Base class of the commands that change the configuration in two steps: a plan and its confirmation.
 */
import type { Operation } from '@arbutustray/core'
import type { ExitCode } from '../exit-code.js'
import { Option } from 'clipanion'
import { createInterface } from 'node:readline/promises'
import { EXIT } from '../exit-code.js'
import { ConfirmingCommand } from './confirming-command.js'

/** A command that makes a plan and confirms it. Without `--yes` it asks the operator first. */
export abstract class ChangeCommand extends ConfirmingCommand {
  yes = Option.Boolean('--yes', false, { description: 'Confirm the plan without asking.' })

  protected async planAndConfirm (operations: readonly Operation[]): Promise<ExitCode> {
    if (this.reportMissingOption()) return EXIT.usage
    const plan = await this.makePlan(operations)
    if (typeof plan === 'number') return plan
    if (!await this.askForConfirmation()) {
      this.printToStderr('not confirmed')
      return EXIT.unconfirmed
    }
    return await this.confirmPlan(plan)
  }

  /** Asks on the terminal. Without a terminal, only `--yes` confirms. */
  private async askForConfirmation (): Promise<boolean> {
    if (this.yes) return true
    const { stdin } = this.context
    if (!('isTTY' in stdin) || stdin.isTTY !== true) return false
    const prompt = createInterface({ input: stdin, output: this.context.stderr })
    try {
      return /^y(es)?$/i.test((await prompt.question('confirm this plan? [y/N] ')).trim())
    } finally {
      prompt.close()
    }
  }
}
