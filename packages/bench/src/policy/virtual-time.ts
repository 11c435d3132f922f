/**
 * Virtual time for simulations. Runs scheduled actions in order of time and sets the runtime's clock to the time of
 * each, so that the code under test reads virtual time from `Date` and `performance`.
 */
import { install } from '@sinonjs/fake-timers'
import TinyQueue from 'tinyqueue'

interface TimedAction {
  readonly at: number
  /** Sequence number; actions of the same time run in the order in which they were scheduled. */
  readonly order: number
  readonly run: () => void
}

export interface VirtualTime {
  /** Milliseconds since the start of the replay. */
  readonly now: () => number
  /** Schedules an action `delayMs` from now. */
  readonly after: (delayMs: number, run: () => void) => void
  /** Runs the actions that are due up to `untilMs`, then advances the clock to `untilMs`. */
  readonly runUntil: (untilMs: number) => void
  /** Restores the runtime's own clock. */
  readonly release: () => void
}

/** Replaces the runtime's clock by one that stands at zero. Only one virtual time may exist at once. */
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
