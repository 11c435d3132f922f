/**
 * `arbutustray changes`: lists who changed which rows of the configuration, when and why.
 */
import type { Operation } from '@arbutustray/core'
import type { ExitCode } from '../exit-code.js'
import { rowKey } from '@arbutustray/core'
import { Command } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { formatTable } from '../format.js'
import { OperatorCommand } from './operator-command.js'

function formatOperation (operation: Operation): string {
  if ('remove' in operation) return `remove ${operation.table} ${operation.remove}`
  // The type of the row follows from the table, which the compiler can't relate here.
  return `put ${operation.table} ${rowKey(operation.table, operation.put as never)}`
}

export class ChangesCommand extends OperatorCommand {
  static override paths = [['changes']]
  static override usage = Command.Usage({
    description: 'Show the newest accepted changes: version, time, actor, reason and rows. The newest 64 are kept.'
  })

  override async execute (): Promise<ExitCode> {
    const answer = await this.client().changes()
    if (answer.isErr()) return this.fail(answer.error)
    const rows = answer.value.map(({ operations, at, version, actor, reason, changeId }) => ({
      version, at: new Date(at).toISOString(), actor, reason, changeId, rows: operations.map(formatOperation).join(', ')
    }))
    this.print(answer.value, formatTable(rows))
    return EXIT.ok
  }
}
