/**
 * `arbutustray check`: checks a file locally, without sending anything.
 */
import type { ConfigurationFile } from '@arbutustray/settings'
import type { Result } from 'neverthrow'
import type { ExitCode } from '../exit-code.js'
import { applyOperations, EMPTY_CONFIGURATION, formatProblem } from '@arbutustray/core'
import { configurationFileSchema, entrySettingsSchema } from '@arbutustray/settings'
import { Command, Option } from 'clipanion'
import { ok } from 'neverthrow'
import { diffConfiguration } from '../diff-configuration.js'
import { EXIT } from '../exit-code.js'
import { readValidated } from '../read-file.js'
import { PrintingCommand } from './operator-command.js'

export class CheckCommand extends PrintingCommand {
  static override paths = [['check']]
  static override usage = Command.Usage({
    description: 'Check a configuration file, or with --settings the settings of an entry instance. Sends nothing.'
  })

  settings = Option.Boolean('--settings', false, { description: 'FILE holds the settings of an entry instance.' })
  file = Option.String({ name: 'FILE' })

  override async execute (): Promise<ExitCode> {
    const checked = this.settings ? await readValidated(this.file, entrySettingsSchema) : await this.checkConfiguration()
    if (checked.isErr()) {
      this.printToStderr(checked.error)
      return EXIT.usage
    }
    this.print(checked.value, `${this.file}: valid`)
    return EXIT.ok
  }

  /**
   * Validates the file. If it contains all tables that other rows refer to, also applies it to an empty configuration,
   * which finds errors that would block a plan.
   */
  private async checkConfiguration (): Promise<Result<ConfigurationFile, string>> {
    const checked = await readValidated(this.file, configurationFileSchema)
    return checked.andThen(file => {
      if (file.regions === undefined || file.zones === undefined || file.services === undefined) return ok(file)
      return applyOperations(EMPTY_CONFIGURATION, diffConfiguration(EMPTY_CONFIGURATION, file))
        .map(() => file)
        .mapErr(problems => problems.map(problem => `${this.file}: ${formatProblem(problem)}`).join('\n'))
    })
  }
}
