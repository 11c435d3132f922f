/**
 * `arbutustray plan`: shows what `apply` would change.
 */
import type { ExitCode } from '../exit-code.js'
import { Command, Option } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { operationsFromFile } from '../operations-from-file.js'
import { OperatorCommand } from './operator-command.js'

export class PlanCommand extends OperatorCommand {
  static override paths = [['plan']]
  static override usage = Command.Usage({
    description: 'Show base version, operations, moves and blockers of applying FILE. Changes nothing.'
  })

  out = Option.String('--out', { description: 'Write the plan as JSON to this file, for `confirm`.' })
  file = Option.String({ name: 'FILE' })

  override async execute (): Promise<ExitCode> {
    const operations = await operationsFromFile(this.file, this.client())
    if (operations.isErr()) {
      if (typeof operations.error !== 'string') return this.fail(operations.error)
      this.printToStderr(operations.error)
      return EXIT.usage
    }
    const plan = await this.makePlan(operations.value, this.out)
    return typeof plan === 'number' ? plan : EXIT.ok
  }
}
