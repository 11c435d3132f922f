/**
 * Frame of a stand-in's process: prints one ready line as JSON, and ends with status 0 on SIGTERM or SIGINT.
 */

/** A started server. */
export interface Closable {
  readonly close: () => Promise<void>
}

/** Starts, prints `{"event":"ready",...}` with what `describe` returns, and waits for a signal. */
export async function runProcess<T extends Closable> (start: () => Promise<T>, describe: (started: T) => object): Promise<void> {
  const started = await start()
  const shutDown = (): void => {
    started.close().then(() => process.exit(0), () => process.exit(1))
  }
  process.once('SIGTERM', shutDown)
  process.once('SIGINT', shutDown)
  console.log(JSON.stringify({ event: 'ready', ...describe(started) }))
}
