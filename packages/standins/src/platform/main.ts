/**
 * Process of the platform stand-in: `node main.js [--port N] [--lag MS]`. The ready line contains `url`.
 */
import { parseArgs } from 'node:util'
import { runProcess } from '../run-process.js'
import { startPlatform } from './start-platform.js'

const { values } = parseArgs({ options: { port: { type: 'string', default: '0' }, lag: { type: 'string', default: '0' } } })

await runProcess(
  async () => await startPlatform({ port: Number(values.port), lagMs: Number(values.lag) }),
  platform => ({ url: platform.url })
)
