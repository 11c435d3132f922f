/**
 * Queue between reading requests and handling them. It limits the time that one iteration of the event loop spends on
 * handling requests, and handles a request at the earliest one iteration after it was added.
 *
 * Node accepts one connection in each iteration of the loop. When one instance gets the callers of several, handling
 * everything that was read in one iteration would keep new connections waiting for seconds, until their callers give up.
 * A caller's close is read one iteration after its request, so the delay shows whether the caller is still connected.
 */

export interface IntakeQueue<T> {
  readonly add: (item: T) => void
  /** Number of items in the queue. */
  readonly size: () => number
}

/** Maximum time for which items are handled in one loop iteration; 5 ms allow 200 accepted connections per second. */
const MAX_ITERATION_MS = 5

/** Creates a queue that calls `handle` for each item in the order of arrival. */
export function createIntakeQueue<T> (handle: (item: T) => void): IntakeQueue<T> {
  let added: T[] = []
  let ready: T[] = []
  let next = 0

  function processIteration (): void {
    const endsAt = performance.now() + MAX_ITERATION_MS
    while (next < ready.length && performance.now() < endsAt) {
      const item = ready[next]
      next += 1
      handle(item)
    }
    ready = next === ready.length ? added : [...ready.slice(next), ...added]
    added = []
    next = 0
    if (ready.length > 0) setImmediate(processIteration)
  }

  return {
    add: item => {
      added.push(item)
      if (added.length === 1 && ready.length === 0) setImmediate(processIteration)
    },
    size: () => added.length + ready.length - next
  }
}
