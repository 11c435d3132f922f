/**
 * `arbutustray check`: checks a file without sending anything.
 */
import type { ExitCode } from '../exit-code.js'
import { configurationFile, entrySettings } from '@arbutustray/settings'
import { Command, Option } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { readChecked } from '../read-file.js'
import { PrintingCommand } from './operator-command.js'

export class CheckCommand extends PrintingCommand {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'Check a configuration file, or with --settings the settings of an entry instance. Sends nothing.'
  })

  settings = Option.Boolean('--settings', false, { description: 'FILE holds the settings of an entry instance.' })
  file = Option.String({ name: 'FILE' })

  override async execute (): Promise<ExitCode> {
    const checked = await readChecked<typeof entrySettings | typeof configurationFile>(
      this.file, this.settings ? entrySettings : configurationFile)
    if (checked.isErr()) {
      this.note(checked.error)
      return EXIT.usage
    }
    this.print(checked.value, `${this.file}: valid`)
    return EXIT.ok
  }
}
