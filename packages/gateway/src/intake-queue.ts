/**
 * Queue between reading requests and handling them. It limits the time that one iteration of the event loop spends on
 * handling, handles a request at the earliest one iteration after it was added, and refuses requests that can't be handled
 * in time.
 *
 * A caller's close is read one iteration after its request, so the delay shows whether the caller is still connected.
 */
import { maxIntakeWaitMs, planIntake } from '@arbutustray/steering'

export interface IntakeQueue<T> {
  readonly add: (item: T) => void
  /** Number of items in the queue. */
  readonly size: () => number
}

export interface IntakeQueueOptions<T> {
  readonly handle: (item: T) => void
  readonly refuse: (item: T) => void
  /** Longest time that an established connection can have waited to be accepted, in milliseconds. */
  readonly acceptWaitMs: () => number
}

interface Entry<T> {
  readonly item: T
  readonly addedAt: number
  /** Time at which it is refused if it is still in the queue. */
  readonly refusedAt: number
}

export function createIntakeQueue<T> ({ handle, refuse, acceptWaitMs }: IntakeQueueOptions<T>): IntakeQueue<T> {
  let added: Array<Entry<T>> = []
  /** Oldest first. */
  let ready: Array<Entry<T>> = []
  let credit = 0
  let isScheduled = false

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    setImmediate(processIteration)
  }

  function handleReady (startedAt: number): void {
    const { maxRequests, maxMs, newestFirst, ...plan } = planIntake({ acceptWaitMs: acceptWaitMs(), oldestWaitMs: startedAt - ready[0].addedAt, credit })
    credit = plan.credit
    for (let count = 0; count < maxRequests && performance.now() < startedAt + maxMs; count += 1) {
      const entry = newestFirst ? ready.pop() : ready.shift()
      if (entry === undefined) return
      handle(entry.item)
    }
  }

  function processIteration (): void {
    isScheduled = false
    const startedAt = performance.now()
    if (ready.length > 0) handleReady(startedAt)
    const due = ready.filter(({ refusedAt }) => refusedAt < startedAt)
    ready = ready.filter(({ refusedAt }) => refusedAt >= startedAt).concat(added)
    added = []
    due.forEach(({ item }) => refuse(item))
    if (ready.length > 0) schedule()
  }

  return {
    add: item => {
      const addedAt = performance.now()
      added.push({ item, addedAt, refusedAt: addedAt + maxIntakeWaitMs(acceptWaitMs()) })
      schedule()
    },
    size: () => added.length + ready.length
  }
}
