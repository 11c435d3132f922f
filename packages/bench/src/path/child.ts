/**
 * Runs each server of the benchmark in its own process, so that servers and load generator don't share a core.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'

/** Message that a server process sends once it listens. */
export interface ReadyMessage {
  readonly address: string
  /** Memory per client block in bytes; only the entry instance sends it. */
  readonly bytesPerClientBlock?: number
}

/** A running server process. */
export interface ServerProcess extends ReadyMessage {
  /** CPU time that the process has used so far, in seconds. */
  readonly cpuSeconds: () => Promise<number>
  readonly stop: () => Promise<void>
}

/** Starts a module of this folder as a process and waits until it listens. */
export async function startServerProcess (module: string, args: readonly string[]): Promise<ServerProcess> {
  const child = fork(new URL(module, import.meta.url), args, { stdio: ['ignore', 'ignore', 'inherit', 'ipc'] })
  const ended = once(child, 'exit').then(() => { throw new Error(`${module} ended early`) })
  const [ready] = await Promise.race([once(child, 'message'), ended]) as [ReadyMessage]
  ended.catch(() => {})
  return {
    ...ready,
    cpuSeconds: async () => {
      const reply = once(child, 'message')
      child.send('cpu')
      const [seconds] = await reply
      return seconds as number
    },
    stop: async () => {
      const exit = once(child, 'exit')
      child.kill()
      await exit
    }
  }
}

const MICROSECONDS_PER_SECOND = 1e6

/** Called in the server process: sends the ready message and answers requests for the CPU time used. */
export function reportReady (ready: ReadyMessage): void {
  process.on('message', message => {
    if (message !== 'cpu') return
    const { user, system } = process.cpuUsage()
    process.send?.((user + system) / MICROSECONDS_PER_SECOND)
  })
  process.on('disconnect', () => process.exit(0))
  process.send?.(ready)
}
