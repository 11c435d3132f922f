/**
 * Command line of `npm run bench:path`. Measures the request path through real processes on loopback.
 */
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { PathFigures } from './measure.js'
import { measurePath } from './measure.js'
import { plotPath } from './plot.js'

const DEFAULT_ROUNDS = '5'
const DEFAULT_ROUND_MS = '2000'
const DEFAULT_CONCURRENCY = '32'
/** Number of client blocks at the design size. */
const DEFAULT_BLOCKS = '860000'

function formatFigures (figures: PathFigures): string {
  const { requestsPerSecond, p50Ms } = figures
  return [
    `throughput: entry ${requestsPerSecond.entry.toFixed(0)}, pass-through ${requestsPerSecond.passThrough.toFixed(0)} requests/s, ` +
      `ratio ${figures.passThroughRatio.toFixed(3)} (target 0.7)`,
    `p50: entry ${p50Ms.entry.toFixed(3)}, pass-through ${p50Ms.passThrough.toFixed(3)} ms, added ${figures.addedP50Ms.toFixed(3)} ms (target 0.3)`,
    `look-ups: ${figures.lookupsPerSecond.toFixed(0)} per second of processor time (target 10000), ` +
      `${figures.lookupsPerWallSecond.toFixed(0)} per second of wall time`,
    `client blocks: ${figures.blocks}, ${figures.bytesPerClientBlock.toFixed(1)} bytes each (limit 156)`,
    `failed requests: ${figures.failed}`
  ].join('\n')
}

class PathBench extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Compares an entry instance with a bare pass-through on loopback.' })

  json = Option.Boolean('--json', false, { description: 'Print one JSON object and nothing else on standard output.' })
  out = Option.String('--out', { description: 'Folder for plots.' })
  rounds = Option.String('--rounds', DEFAULT_ROUNDS, { description: 'Rounds of each server.' })
  roundMs = Option.String('--round-ms', DEFAULT_ROUND_MS, { description: 'Length of a round.' })
  concurrency = Option.String('--concurrency', DEFAULT_CONCURRENCY, { description: 'Connections of the load.' })
  blocks = Option.String('--blocks', DEFAULT_BLOCKS, { description: 'Client blocks in the table.' })

  async execute (): Promise<number> {
    const figures = await measurePath({
      rounds: Number(this.rounds),
      roundMs: Number(this.roundMs),
      concurrency: Number(this.concurrency),
      blocks: Number(this.blocks)
    }, text => { this.context.stderr.write(`${text}\n`) })
    this.context.stdout.write(`${this.json ? JSON.stringify(figures) : formatFigures(figures)}\n`)
    if (this.out !== undefined) await plotPath(this.out, figures)
    return 0
  }
}

const cli = new Cli({ binaryLabel: 'arbutustray path benchmark', binaryName: 'npm run bench:path --' })
cli.register(PathBench)
cli.register(Builtins.HelpCommand)
await cli.runExit(process.argv.slice(2))
