/**
 * Child processes of the demo and of the failure tests. They are killed when this process exits for any reason other
 * than SIGKILL.
 */
import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { createInterface } from 'node:readline'
import { endWithProcess } from '../end-with-process.js'

/** A started child process. */
export interface Child {
  readonly name: string
  readonly process: ChildProcess
  /** Last lines of its standard output and standard error, for the report of a failure. */
  readonly lines: readonly string[]
  /** Next line of the standard output. Rejects if the process ends first. */
  readonly nextLine: () => Promise<string>
}

/** Exit code of a child (null if a signal ended it) and the time from SIGTERM to its exit, in milliseconds. */
export interface ChildExit {
  readonly name: string
  readonly code: number | null
  readonly ms: number
}

/** Starts, stops and kills child processes. */
export interface Children {
  readonly start: (name: string, script: string, args: readonly string[]) => Child
  /** Sends SIGTERM to the children and waits for their exit; kills those that still run after the limit. */
  readonly stop: (children: readonly Child[], limitMs: number) => Promise<readonly ChildExit[]>
  readonly killAll: () => void
  readonly all: () => readonly Child[]
}

const MAX_KEPT_LINES = 40

function collectLines (process: ChildProcess): { readonly lines: readonly string[], readonly nextLine: () => Promise<string> } {
  const lines: string[] = []
  const waiting: Array<(line: string) => void> = []
  const keepLine = (line: string): void => {
    lines.push(line)
    if (lines.length > MAX_KEPT_LINES) lines.shift()
  }
  if (process.stderr !== null) createInterface({ input: process.stderr }).on('line', keepLine)
  if (process.stdout !== null) {
    createInterface({ input: process.stdout }).on('line', line => {
      keepLine(line)
      waiting.shift()?.(line)
    })
  }
  return {
    lines,
    nextLine: async () => await new Promise((resolve, reject) => {
      waiting.push(resolve)
      process.once('exit', code => reject(new Error(`ended with ${code}:\n${lines.join('\n')}`)))
    })
  }
}

/** Creates an empty set of children that is killed when this process exits. */
export function createChildren (): Children {
  const children: Child[] = []

  function start (name: string, script: string, args: readonly string[]): Child {
    const child = spawn(process.execPath, [script, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    const started: Child = { name, process: child, ...collectLines(child) }
    children.push(started)
    return started
  }

  async function stopOne ({ name, process: child }: Child, limitMs: number): Promise<ChildExit> {
    const startedAt = performance.now()
    if (child.exitCode === null && child.signalCode === null) {
      const exit = once(child, 'exit')
      child.kill('SIGTERM')
      const kill = setTimeout(() => child.kill('SIGKILL'), limitMs)
      await exit
      clearTimeout(kill)
    }
    return { name, code: child.exitCode, ms: performance.now() - startedAt }
  }

  function killAll (): void {
    for (const { process: child } of children) if (child.exitCode === null) child.kill('SIGKILL')
  }

  endWithProcess(killAll)
  return {
    start,
    stop: async (stopped, limitMs) => await Promise.all(stopped.map(async child => await stopOne(child, limitMs))),
    killAll,
    all: () => children
  }
}
