/**
 * A priority queue of timers, earliest first. It is a heap because a deadline is added for each request, and the
 * earliest one is compared with the clock on each event.
 */
import TinyQueue from 'tinyqueue'

interface Timer { readonly at: number, readonly id: string }

/** Timers by due time. A timer can't be cancelled: the user ignores ids that no longer apply, or calls `compact`. */
export interface TimerHeap {
  readonly size: number
  add (at: number, id: string): void
  /** Removes the earliest timer and returns its id; `undefined` when none is due at `now`. */
  popDue (now: number): string | undefined
  /** Removes the timers whose id no longer applies. */
  compact (isCurrent: (id: string) => boolean): void
}

function compare (a: Timer, b: Timer): number {
  return a.at - b.at
}

/** Creates an empty heap. */
export function createTimerHeap (): TimerHeap {
  let timers = new TinyQueue<Timer>([], compare)
  return {
    get size () { return timers.length },
    add: (at, id) => timers.push({ at, id }),
    popDue (now) {
      const first = timers.peek()
      return first === undefined || first.at > now ? undefined : timers.pop()?.id
    },
    compact (isCurrent) {
      timers = new TinyQueue(timers.data.filter(timer => isCurrent(timer.id)), compare)
    }
  }
}
