/**
 * Runs the benchmark's servers as processes of their own, so that each has its own core.
 */
import { fork } from 'node:child_process'
import { once } from 'node:events'

/** What a server process reports once it listens. */
export interface ReadyMessage {
  readonly address: string
  /** Bytes of memory for one client block, from the entry instance. */
  readonly bytesPerClientBlock?: number
}

/** A running server process. */
export interface ServerProcess extends ReadyMessage {
  /** Processor time that the process has used, in seconds. */
  readonly cpuSeconds: () => Promise<number>
  readonly stop: () => Promise<void>
}

/** Starts a module of this folder with arguments. */
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

/** Reports from inside a server process and answers questions about its processor time. */
export function reportReady (ready: ReadyMessage): void {
  process.on('message', message => {
    if (message !== 'cpu') return
    const { user, system } = process.cpuUsage()
    process.send?.((user + system) / MICROSECONDS_PER_SECOND)
  })
  process.on('disconnect', () => process.exit(0))
  process.send?.(ready)
}
