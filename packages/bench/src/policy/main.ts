/**
 * Command line of `npm run bench`. Replays the traces of both users under every policy and prints latency percentiles,
 * refused shares and ratios, as text or as JSON.
 */
import { Builtins, Cli, Command, Option } from 'clipanion'
import type { UserFigures } from './scenarios.js'
import { BASELINES } from './baseline.js'
import { ASSOCIATION, CONSORTIUM } from './profile.js'
import { measureUser } from './scenarios.js'
import { plotUsers } from './plot.js'
import { readPreviousResult, writeResult } from './result-file.js'

const DEFAULT_SEED = '20261204'
const DEFAULT_SECONDS = '12'
const MS_PER_SECOND = 1_000

function formatUser (name: string, user: UserFigures, previous: UserFigures['p99'][string] | undefined): string {
  const policies = previous === undefined ? user.p99 : { ...user.p99, 'previous result': previous }
  const rows = Object.entries(policies).map(([policy, settings]) =>
    `  ${policy.padEnd(26)}${Object.entries(settings).map(([setting, ms]) => `${setting}: ${ms.toFixed(1)}`).join('  ')}`)
  return [
    `${name}: p99 of short requests in ms`,
    ...rows,
    `  refused share: ${Object.entries(user.refusedShare).map(([name, share]) => `${name}: ${share.toFixed(4)}`).join('  ')}`,
    `  straggler ratio 0.6: ${user.stragglerRatio60.toFixed(3)} (target 1.15), 0.8: ${user.stragglerRatio80.toFixed(3)} (target 1.25)`,
    `  short wait ratio: ${user.shortWaitRatio.toFixed(3)} (target 1.1), with long work in the same service: ${user.mixedWaitRatio.toFixed(3)}`,
    `  highest region load: ${user.maxRegionLoad.toFixed(3)} (target 1)`,
    `  drain: idle after ${user.drain.idleMs.toFixed(0)} ms, ${user.drain.lateStarts} late starts`
  ].join('\n')
}

class Bench extends Command {
  static override paths = [Command.Default]
  static override usage = Command.Usage({ description: 'Replays traces of both users under every policy.' })

  json = Option.Boolean('--json', false, { description: 'Print one JSON object and nothing else on standard output.' })
  out = Option.String('--out', { description: 'Folder for plots.' })
  seed = Option.String('--seed', DEFAULT_SEED, { description: 'Seed of the traces.' })
  seconds = Option.String('--seconds', DEFAULT_SECONDS, { description: 'Length of each trace.' })

  save = Option.Boolean('--save', false, { description: 'Keep this result as the previous result of later runs.' })

  baselines = Option.Boolean('--baselines', true, { description: 'Run the baselines too; --no-baselines leaves them out.' })

  async execute (): Promise<number> {
    const baselines = this.baselines ? Object.keys(BASELINES) : []
    const options = { seed: Number(this.seed), durationMs: Number(this.seconds) * MS_PER_SECOND, baselines }
    const progress = (text: string): void => { this.context.stderr.write(`${text}\n`) }
    const users: Record<string, UserFigures> = {}
    for (const profile of [ASSOCIATION, CONSORTIUM]) users[profile.name] = measureUser(profile, options, progress)
    const previous = await readPreviousResult()
    const text = this.json
      ? JSON.stringify({ ...options, ...users, previous })
      : Object.entries(users).map(([name, user]) => formatUser(name, user, previous[name])).join('\n\n')
    this.context.stdout.write(`${text}\n`)
    if (this.out !== undefined) await plotUsers(this.out, users)
    if (this.save) await writeResult(users)
    return 0
  }
}

const cli = new Cli({ binaryLabel: 'arbutustray policy benchmark', binaryName: 'npm run bench --' })
cli.register(Bench)
cli.register(Builtins.HelpCommand)
await cli.runExit(process.argv.slice(2))
