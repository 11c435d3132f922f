/**
 * Log of what an upstream stand-in ran, to count executions. A run starts once the request's body was read whole.
 */

/** One execution. Times in milliseconds since the Unix epoch. */
export interface Run {
  readonly upstream: string
  readonly requestId: string
  /** Value of `idempotency-key`. */
  readonly key?: string
  readonly method: string
  readonly path: string
  readonly bytes: number
  readonly sha256: string
  readonly started: number
  readonly ended?: number
  /** `served`: answered; `cancelled`: the caller closed the exchange; `deadline`: the stated time passed. */
  readonly end?: 'served' | 'cancelled' | 'deadline'
}

/** Runs in the order in which they started. */
export interface RunLog {
  /** Returns a function that records the end; only its first call counts. */
  readonly start: (run: Omit<Run, 'started' | 'ended' | 'end'>) => (end: NonNullable<Run['end']>) => void
  readonly runs: () => readonly Run[]
}

/** Creates an empty log. */
export function createRunLog (): RunLog {
  const runs: Run[] = []
  return {
    runs: () => runs,
    start: run => {
      const index = runs.push({ ...run, started: Date.now() }) - 1
      return end => {
        const current = runs[index]
        if (current !== undefined && current.end === undefined) runs[index] = { ...current, ended: Date.now(), end }
      }
    }
  }
}
