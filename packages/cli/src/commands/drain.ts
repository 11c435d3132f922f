/**
 * `arbutustray drain` and `undrain`: start and end the drain of an upstream, an entry instance or a zone, for planned
 * maintenance.
 */
import type { Drain } from '@arbutustray/core'
import type { ExitCode } from '../exit-code.js'
import { rowKey } from '@arbutustray/core'
import { Command, Option, UsageError } from 'clipanion'
import { ChangeCommand } from './change-command.js'

const KINDS: ReadonlyArray<Drain['kind']> = ['upstream', 'instance', 'zone']

/** Options that `drain` and `undrain` share. */
abstract class DrainingCommand extends ChangeCommand {
  kind = Option.String('--kind', 'upstream', { description: 'What TARGET is: upstream, instance or zone.' })
  service = Option.String('--service', { description: 'Limits the drain of a zone to one service.' })
  target = Option.String({ name: 'TARGET' })

  /** Row of the table `drains` that the options describe. */
  protected drainRow (): Drain {
    const kind = KINDS.find(candidate => candidate === this.kind)
    if (kind === undefined) throw new UsageError(`--kind: expected one of ${KINDS.join(', ')}`)
    if (this.service !== undefined && kind !== 'zone') throw new UsageError('--service: expected only with --kind zone')
    return { kind, target: this.target, ...(this.service === undefined ? {} : { service: this.service }) }
  }
}

export class DrainCommand extends DrainingCommand {
  static override paths = [['drain']]
  static override usage = Command.Usage({
    description: 'Send no new work to TARGET; work in flight finishes.'
  })

  override async execute (): Promise<ExitCode> {
    return await this.planAndConfirm([{ table: 'drains', put: this.drainRow() }])
  }
}

export class UndrainCommand extends DrainingCommand {
  static override paths = [['undrain']]
  static override usage = Command.Usage({
    description: 'End the drain of TARGET.'
  })

  override async execute (): Promise<ExitCode> {
    return await this.planAndConfirm([{ table: 'drains', remove: rowKey('drains', this.drainRow()) }])
  }
}
