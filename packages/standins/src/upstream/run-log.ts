/**
 * Log of the requests that an upstream stand-in ran, from which tests count executions. A run starts once the
 * request's whole body was read.
 */

/** One execution of a request. Times in milliseconds since the Unix epoch. */
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
  /** `served`: responded; `cancelled`: the caller closed the connection; `deadline`: the request's timeout passed. */
  readonly end?: 'served' | 'cancelled' | 'deadline'
}

/** Runs in the order in which they started. */
export interface RunLog {
  /** Records the start of a run. Returns a function that records its end; only the first call has an effect. */
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
