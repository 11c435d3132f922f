/**
 * Runs a stand-in as a process: prints one ready line as JSON, and closes the stand-in and exits with status 0 on
 * SIGTERM or SIGINT.
 */

/** A started stand-in. */
export interface Closable {
  readonly close: () => Promise<void>
}

/** Starts a stand-in and prints `{"event":"ready",...}` with the fields that `describe` returns. */
export async function runProcess<T extends Closable> (start: () => Promise<T>, describe: (started: T) => object): Promise<void> {
  const started = await start()
  const shutDown = (): void => {
    started.close().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', shutDown)
  process.once('SIGINT', shutDown)
  console.log(JSON.stringify({ event: 'ready', ...describe(started) }))
}
