/**
 * Runs a cleanup when this process exits, for example to end child processes. It covers normal exits, uncaught errors
 * and the signals SIGINT, SIGTERM and SIGHUP, but not SIGKILL.
 */

const SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

/**
 * Calls `cleanUp` when this process exits. Each of the signals makes the process exit with status 1. Returns a function
 * that removes the handlers.
 */
export function endWithProcess (cleanUp: () => void): () => void {
  const exitOnSignal = (): void => process.exit(1)
  process.once('exit', cleanUp)
  for (const signal of SIGNALS) process.once(signal, exitOnSignal)
  return () => {
    process.off('exit', cleanUp)
    for (const signal of SIGNALS) process.off(signal, exitOnSignal)
  }
}
