/**
 * Reports how long callers wait to be accepted, so that an engineer can tell connections that nobody has read from slow
 * upstreams. Logs the begin and the end of a long wait.
 */
import type { Telemetry } from '@arbutustray/telemetry'
import type { CallerServer } from './caller-server.js'

/** Wait that is logged, in milliseconds. Callers give up after a second. */
const MIN_REPORTED_WAIT_MS = 200

/** Creates the report; the returned function is called periodically. */
export function createAcceptReport ({ listener, queued }: CallerServer, { log, metrics }: Pick<Telemetry, 'log' | 'metrics'>): () => void {
  let longestWaitMs: number | undefined
  return () => {
    const waitMs = Math.round(listener.maxAcceptWaitMs())
    const open = listener.openConnections()
    metrics.replace('arbutustray_open_caller_connections', [[{}, open]])
    if (longestWaitMs === undefined && waitMs >= MIN_REPORTED_WAIT_MS) log('callers-waiting', { waitMs, open, queued: queued() })
    if (longestWaitMs !== undefined && waitMs === 0) log('callers-accepted', { waitMs: longestWaitMs })
    if (waitMs === 0) longestWaitMs = undefined
    else if (longestWaitMs !== undefined || waitMs >= MIN_REPORTED_WAIT_MS) longestWaitMs = Math.max(waitMs, longestWaitMs ?? 0)
  }
}
