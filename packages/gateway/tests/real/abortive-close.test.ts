/**
 * Guards against a process whose end closes connections regularly, so that a part of an answer without a length looks
 * complete to its caller.
 */
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { expect, it } from 'vitest'

const MODULE = new URL('../../dist/abortive-close.js', import.meta.url).href

/** Program that sends a part of an answer to each caller, with the option set and perhaps removed again. */
function program (steps: readonly boolean[]): string {
  return `
    import { createServer } from 'node:net'
    import { setAbortiveClose } from '${MODULE}'
    const server = createServer(socket => {
      for (const step of ${JSON.stringify(steps)}) if (!setAbortiveClose(socket, step)) process.exit(1)
      socket.write('part')
    }).listen(0, '127.0.0.1', () => process.stdout.write(String(server.address().port)))`
}

it.each([
  ['reset', [true]],
  ['regular', [true, false]],
  ['regular', []]
] as const)('gives a killed process\'s connection a %s end after the steps %j', async (end, steps) => {
  const child = spawn(process.execPath, ['--input-type=module', '-e', program(steps)], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [port] = await once(child.stdout, 'data') as [Buffer]
  const socket = connect(Number(port), '127.0.0.1')
  const ended = new Promise<string>(resolve => socket.once('end', () => resolve(socket.remoteAddress === undefined ? 'reset' : 'regular')).once('error', () => resolve('reset')))
  const [part] = await once(socket, 'data') as [Buffer]
  expect(part.toString()).toBe('part')
  child.kill('SIGKILL')
  expect(await ended).toBe(end)
})
