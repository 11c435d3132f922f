/**
 * Ties the end of child processes to the end of this one, on whatever way out except SIGKILL.
 */

const SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

/** Calls `end` when this process ends; a signal ends it with status 1. Returns a function that unties both. */
export function endWithProcess (cleanUp: () => void): () => void {
  const exitOnSignal = (): void => process.exit(1)
  process.once('exit', cleanUp)
  for (const signal of SIGNALS) process.once(signal, exitOnSignal)
  return () => {
    process.off('exit', cleanUp)
    for (const signal of SIGNALS) process.off(signal, exitOnSignal)
  }
}
