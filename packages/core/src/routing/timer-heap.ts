/**
 * Times at which something is due, earliest first. A binary heap, because a deadline is added for each request and
 * the earliest one is compared with the clock on each event.
 */

interface Timer { readonly at: number, readonly id: string }

/** Timers are never removed early; the reader ignores those that no longer apply. */
export interface TimerHeap {
  readonly size: number
  add (at: number, id: string): void
  /** Removes and returns one id that is due at `now`. */
  takeDue (now: number): string | undefined
  /** Drops the timers whose id no longer applies. */
  compact (applies: (id: string) => boolean): void
}

/** Creates an empty heap. */
export function createTimerHeap (): TimerHeap {
  let timers: Timer[] = []

  function siftUp (start: number): void {
    const timer = timers[start]!
    let index = start
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (timers[parent]!.at <= timer.at) break
      timers[index] = timers[parent]!
      index = parent
    }
    timers[index] = timer
  }

  function siftDown (): void {
    const timer = timers[0]!
    let index = 0
    for (;;) {
      let child = 2 * index + 1
      if (child >= timers.length) break
      if (child + 1 < timers.length && timers[child + 1]!.at < timers[child]!.at) child += 1
      if (timers[child]!.at >= timer.at) break
      timers[index] = timers[child]!
      index = child
    }
    timers[index] = timer
  }

  return {
    get size () { return timers.length },
    add (at, id) {
      timers.push({ at, id })
      siftUp(timers.length - 1)
    },
    takeDue (now) {
      const first = timers[0]
      if (first === undefined || first.at > now) return undefined
      const last = timers.pop()!
      if (timers.length > 0) {
        timers[0] = last
        siftDown()
      }
      return first.id
    },
    compact (applies) {
      // A sorted array is a valid heap.
      timers = timers.filter(timer => applies(timer.id)).sort((a, b) => a.at - b.at)
    }
  }
}
