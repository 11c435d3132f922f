/**
 * `arbutustray status`: shows the state of one entry instance and what it knows of the others.
 */
import type { ExitCode } from '../exit-code.js'
import { Command } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { formatTable } from '../format.js'
import { OperatorCommand } from './operator-command.js'

export class StatusCommand extends OperatorCommand {
  static override paths = [['status']]
  static override usage = Command.Usage({
    description: 'Show the state of an entry instance, its peers, its upstreams and its headroom.'
  })

  override async execute (): Promise<ExitCode> {
    const answer = await this.client().status()
    if (answer.isErr()) return this.fail(answer.error)
    const { instances, upstreams, headroom, ...self } = answer.value
    const sections = Object.entries({ instance: [self], instances, upstreams, headroom })
    this.print(answer.value, sections.map(([name, rows]) => `${name}\n${formatTable(rows)}`).join('\n'))
    return EXIT.ok
  }
}
