/**
 * `arbutustray lookup`: shows which entry instances a client should use.
 */
import type { ExitCode } from '../exit-code.js'
import { Command, Option } from 'clipanion'
import { EXIT } from '../exit-code.js'
import { formatTable } from '../format.js'
import { lookUpInstances } from '../operator-client.js'
import { PrintingCommand } from './operator-command.js'

export class LookupCommand extends PrintingCommand {
  static override paths = [['lookup']]
  static override usage = Command.Usage({
    description: 'Ask a caller port which entry instances serve SERVICE, best first. Needs no token.'
  })

  caller = Option.String('--caller', '127.0.0.1:8080', {
    env: 'ARBUTUSTRAY_CALLER',
    description: 'Caller address of an entry instance, host:port. Also ARBUTUSTRAY_CALLER.'
  })

  client = Option.String('--client', { description: 'Address of the client; by default that of the connection.' })
  service = Option.String({ name: 'SERVICE' })

  override async execute (): Promise<ExitCode> {
    const answer = await lookUpInstances(this.caller, this.service, this.client)
    if (answer.isErr()) return this.fail(answer.error)
    const { instances, version, ttlMs } = answer.value
    this.print(answer.value, `version ${version}, valid for ${ttlMs} ms\n${formatTable([...instances])}`)
    return EXIT.ok
  }
}
