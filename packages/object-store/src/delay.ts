/**
 * Abortable delay on the global timers, which the tests' fake timers replace; `node:timers/promises` is not replaced.
 */

/** Resolves after `durationMs`, or as soon as the signal is aborted. */
export async function delay (durationMs: number, signal?: AbortSignal): Promise<void> {
  if (signal?.aborted === true) return
  await new Promise<void>(resolve => {
    const done = (): void => {
      clearTimeout(timer)
      signal?.removeEventListener('abort', done)
      resolve()
    }
    const timer = setTimeout(done, durationMs)
    signal?.addEventListener('abort', done)
  })
}
