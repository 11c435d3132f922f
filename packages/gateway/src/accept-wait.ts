/**
 * Estimates how long connections wait in the listen backlog. Node 20 accepts one connection in each iteration of the event
 * loop and cannot see how many wait. While each iteration accepts one, more may be waiting. None of them can have connected
 * before the first iteration of the series, and none was behind more others than the backlog holds.
 */

export interface AcceptWait {
  /** Called for each accepted connection. */
  readonly recordAccept: () => void
  /** Longest time that a connection in the backlog can have waited, in milliseconds; 0 after an iteration that accepted none. */
  readonly maxWaitMs: () => number
}

export function createAcceptWait (backlog: number): AcceptWait {
  let hasAccepted = false
  let isSeries = false
  /** Times of the last accepted connections of the series, overwritten in turn. */
  const acceptTimes: number[] = []
  let accepted = 0

  function endIteration (): void {
    if (hasAccepted) setImmediate(endIteration)
    else isSeries = false
    hasAccepted = false
  }

  return {
    recordAccept: () => {
      hasAccepted = true
      if (!isSeries) {
        isSeries = true
        accepted = 0
        setImmediate(endIteration)
      }
      acceptTimes[accepted % backlog] = performance.now()
      accepted += 1
    },
    maxWaitMs: () => isSeries ? performance.now() - acceptTimes[accepted > backlog ? accepted % backlog : 0] : 0
  }
}
