/**
 * `arbutustray confirm`: confirms a plan that was written to a file.
 */
import type { ExitCode } from '../exit-code.js'
import { Command, Option } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { readPlan } from '../read-file.js'
import { ConfirmingCommand } from './confirming-command.js'

export class ConfirmCommand extends ConfirmingCommand {
  static override paths = [['confirm']]
  static override usage = Command.Usage({
    description: 'Confirm the plan in PLANFILE. If the configuration has changed, print a new plan instead.'
  })

  file = Option.String({ name: 'PLANFILE' })

  override async execute (): Promise<ExitCode> {
    if (this.reportMissingOption()) return EXIT.usage
    const plan = await readPlan(this.file)
    if (plan.isOk()) return await this.confirmPlan(plan.value)
    this.printToStderr(plan.error)
    return EXIT.usage
  }
}
