/**
 * Process that hosts upstream stand-ins: `node main.js SPECS [--control-port N]`, where SPECS is a JSON array of
 * `UpstreamSpec`. The ready line contains `controlUrl` and `upstreams`, the latter in the format of the platform's
 * instance list.
 */
import { parseArgs } from 'node:util'
import { runProcess } from '../run-process.js'
import { startUpstreamHost } from './start-upstream-host.js'

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { 'control-port': { type: 'string', default: '0' } }
})

await runProcess(
  async () => await startUpstreamHost(JSON.parse(positionals[0] ?? '[]'), Number(values['control-port'])),
  host => ({ controlUrl: host.controlUrl, upstreams: host.listed() })
)
