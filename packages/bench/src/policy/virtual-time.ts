/**
 * Virtual time for replays: a queue of timed actions that advances the runtime's paused clock, so that code under
 * test reads the replay's time from the runtime as usual.
 */
import { install } from '@sinonjs/fake-timers'
import TinyQueue from 'tinyqueue'

interface TimedAction {
  readonly at: number
  /** Keeps actions of the same time in the order in which they were scheduled. */
  readonly order: number
  readonly run: () => void
}

export interface VirtualTime {
  /** Milliseconds since the start of the replay. */
  readonly now: () => number
  readonly after: (delayMs: number, run: () => void) => void
  /** Runs actions in order of time until the queue is empty or `untilMs` is reached. */
  readonly runUntil: (untilMs: number) => void
  /** Gives the runtime its own clock back. */
  readonly release: () => void
}

/** Pauses the runtime's clock at zero. Only one replay may run at a time. */
export function createVirtualTime (): VirtualTime {
  const clock = install({ now: 0, toFake: ['Date', 'performance', 'hrtime'] })
  const queue = new TinyQueue<TimedAction>([], (a, b) => a.at - b.at || a.order - b.order)
  let now = 0
  let order = 0

  function advance (to: number): void {
    if (to <= now) return
    clock.tick(to - now)
    now = to
  }

  return {
    now: () => now,
    after: (delayMs, run) => {
      order += 1
      queue.push({ at: now + delayMs, order, run })
    },
    runUntil: untilMs => {
      for (let next = queue.peek(); next !== undefined && next.at <= untilMs; next = queue.peek()) {
        queue.pop()
        advance(next.at)
        next.run()
      }
      advance(untilMs)
    },
    release: () => clock.uninstall()
  }
}
