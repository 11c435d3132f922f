/**
 * Drives an engine: merges the events of the process with a periodic tick and hands the commands on, on one thread.
 */
import type { Stream } from 'most'
import type { Command } from './command.js'
import type { Engine } from './create-engine.js'
import type { Event } from './event.js'
import { merge, periodic } from 'most'
import { monotonicNow } from './clock.js'

/** Time between ticks. Expiries and growth steps are at least ten times as long. */
export const TICK_MS = 10
/**
 * After a pause the scheduler makes up for all missed ticks at once, 100 for each second of the pause. Ticks closer
 * together than this are dropped.
 */
const MIN_TICK_INTERVAL_MS = TICK_MS / 2

export interface EngineLoopOptions {
  readonly engine: Pick<Engine, 'handle'>
  readonly events: Stream<Event>
  /** Carries out a command. Called in order; must not block. */
  readonly execute: (command: Command) => void
  /** Receives an error of the event source, of the engine or of `execute`. The loop has ended by then. */
  readonly onError: (error: Error) => void
}

/** A running loop. */
export interface EngineLoop {
  /** Ends the loop: no event is handled after the call. */
  readonly stop: () => void
}

const TICK: Event = { type: 'tick' }

/** Starts a loop. It runs until `stop`, also when the event source ends. */
export function runLoop (options: EngineLoopOptions): EngineLoop {
  const { engine, execute, onError } = options
  let isRunning = true
  let lastTickAt = -Infinity

  function handle (event: Event): void {
    if (!isRunning) return
    if (event.type === 'tick') {
      const now = monotonicNow()
      if (now - lastTickAt < MIN_TICK_INTERVAL_MS) return
      lastTickAt = now
    }
    for (const command of engine.handle(event)) execute(command)
  }

  const subscription = merge(options.events, periodic(TICK_MS, TICK)).subscribe({
    next: handle,
    error: (error: Error) => {
      isRunning = false
      onError(error)
    },
    complete: () => {}
  })
  return {
    stop: () => {
      isRunning = false
      subscription.unsubscribe()
    }
  }
}
