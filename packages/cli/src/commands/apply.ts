/**
 * `arbutustray apply`: changes the configuration to match a file.
 */
import type { ExitCode } from '../exit-code.js'
import { Command, Option } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { operationsFromFile } from '../operations-from-file.js'
import { ChangeCommand } from './change-command.js'

export class ApplyCommand extends ChangeCommand {
  static override paths = [['apply']]
  static override usage = Command.Usage({
    description: 'Plan and confirm the changes that bring the configuration to what FILE states.'
  })

  file = Option.String({ name: 'FILE' })

  override async execute (): Promise<ExitCode> {
    const operations = await operationsFromFile(this.file, this.client())
    if (operations.isOk()) return await this.planAndConfirm(operations.value)
    if (typeof operations.error !== 'string') return this.fail(operations.error)
    this.printToStderr(operations.error)
    return EXIT.usage
  }
}
