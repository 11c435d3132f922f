/**
 * Command line of `npm run bench:slopes`. Prints how the costs of the state grow with its size, and the capacity table
 * computed from them.
 */
import { Builtins, Cli, Command, Option } from 'clipanion'
import { formatCapacity, computeCapacity } from './capacity.js'
import { measureBlocks, measurePeers, measureSites } from './slopes.js'

class SlopesBench extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Measures memory and CPU time against the size of the state.' })

  json = Option.Boolean('--json', false, { description: 'Print one JSON object and nothing else on standard output.' })

  async execute (): Promise<number> {
    const { costs, table } = await measureBlocks()
    const slopes = { blocks: costs, sites: await measureSites(), peers: await measurePeers(table) }
    const capacity = computeCapacity(slopes)
    const text = this.json
      ? JSON.stringify({ ...slopes, capacity })
      : `${JSON.stringify(slopes, undefined, 2)}\n\n${formatCapacity(capacity)}`
    this.context.stdout.write(`${text}\n`)
    return 0
  }
}

const cli = new Cli({ binaryLabel: 'arbutustray slopes', binaryName: 'npm run bench:slopes --' })
cli.register(SlopesBench)
cli.register(Builtins.HelpCommand)
await cli.runExit(process.argv.slice(2))
