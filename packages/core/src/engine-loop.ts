/**
 * Runs an engine on the event loop of the process: passes it the events and a periodic tick, and executes the commands
 * that it returns.
 */
import type { Stream } from 'most'
import type { Command } from './command.js'
import type { Engine } from './create-engine.js'
import type { Event } from './event.js'
import { merge, periodic } from 'most'
import { monotonicNow } from './clock.js'

/** Time between ticks. Expiries and ramp-up steps are at least ten times as long. */
export const TICK_PERIOD_MS = 10
/**
 * Ticks that follow the previous one sooner are dropped. After a pause of the process, the scheduler delivers all missed
 * ticks at once, 100 for each second of the pause.
 */
const MIN_TICK_INTERVAL_MS = TICK_PERIOD_MS / 2

export interface EngineLoopOptions {
  readonly engine: Pick<Engine, 'handle'>
  readonly events: Stream<Event>
  /** Executes a command. Called in the order of the commands; must not block. */
  readonly execute: (command: Command) => void
  /** Called with an error of the event source, the engine or `execute`, after the loop has ended. */
  readonly onError: (error: Error) => void
}

/** A running loop. */
export interface EngineLoop {
  /** Ends the loop. No event is handled after the call. */
  readonly stop: () => void
}

const TICK: Event = { type: 'tick' }

/** Starts a loop. It runs until `stop` or an error, even if the event source completes. */
export function startEngineLoop (options: EngineLoopOptions): EngineLoop {
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

  const subscription = merge(options.events, periodic(TICK_PERIOD_MS, TICK)).subscribe({
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
