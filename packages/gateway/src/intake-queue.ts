/**
 * Requests that were read and wait for their turn of the event loop.
 *
 * Load pattern: one instance gets the callers of several, and most of its time goes into requests. Node accepts one
 * connection in each turn of the loop, so a turn that handles all that was read lets new connections wait for seconds,
 * and their callers leave meanwhile. The work of a turn is therefore bounded; and because a caller's close is read one
 * turn after its request, a request is handled a turn after it was read, when it is known whether its caller is there.
 */

export interface IntakeQueue<T> {
  readonly add: (item: T) => void
  /** Items that wait. */
  readonly size: () => number
}

/** Longest time in milliseconds for which items are handled in one turn: 200 connections can be accepted in a second. */
const MAX_TURN_MS = 5

/** `handle` is called for each item in the order of arrival. */
export function createIntakeQueue<T> (handle: (item: T) => void): IntakeQueue<T> {
  let added: T[] = []
  let ready: T[] = []
  let next = 0

  function processTurn (): void {
    const endsAt = performance.now() + MAX_TURN_MS
    while (next < ready.length && performance.now() < endsAt) {
      const item = ready[next]
      next += 1
      handle(item)
    }
    ready = next === ready.length ? added : [...ready.slice(next), ...added]
    added = []
    next = 0
    if (ready.length > 0) setImmediate(processTurn)
  }

  return {
    add: item => {
      added.push(item)
      if (added.length === 1 && ready.length === 0) setImmediate(processTurn)
    },
    size: () => added.length + ready.length - next
  }
}
