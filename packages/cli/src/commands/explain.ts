/**
 * `arbutustray explain`: shows why a request was served, refused or moved.
 */
import type { ExitCode } from '../exit-code.js'
import { REASONS } from '@arbutustray/core'
import { Command, Option } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { formatTable } from '../format.js'
import { OperatorCommand } from './operator-command.js'

export class ExplainCommand extends OperatorCommand {
  static override paths = [['explain']]
  static override usage = Command.Usage({
    description: 'Show outcome, reason and attempts of REQUEST. The entry instance keeps its newest requests only.'
  })

  request = Option.String({ name: 'REQUEST' })

  override async execute (): Promise<ExitCode> {
    const answer = await this.client().explain(this.request)
    if (answer.isErr()) return this.fail(answer.error)
    const { attempts, at, ...decision } = answer.value
    const head = formatTable([{ ...decision, at: new Date(at).toISOString() }])
    const reason = `${decision.reason}: ${REASONS[decision.reason] ?? 'no text for this reason'}`
    this.print(answer.value, [head, reason, 'attempts', formatTable([...attempts])].join('\n'))
    return EXIT.ok
  }
}
