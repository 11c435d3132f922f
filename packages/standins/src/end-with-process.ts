/**
 * Ties the end of child processes to the end of this one, on whatever way out except SIGKILL.
 */

const SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

/** Calls `end` when this process ends; a signal ends it with status 1. Returns a function that unties both. */
export function endWithProcess (end: () => void): () => void {
  const leave = (): void => process.exit(1)
  process.once('exit', end)
  for (const signal of SIGNALS) process.once(signal, leave)
  return () => {
    process.off('exit', end)
    for (const signal of SIGNALS) process.off(signal, leave)
  }
}
