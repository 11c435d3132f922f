/**
 * Opens connections for undici. It has its own connect timeout because undici's has a resolution of one second. It also
 * tells a reset from the end of an answer without a length: undici treats an error with the system's code for a reset as
 * that end, and libuv reports a reset that arrives together with data as a regular end.
 */
import type { Socket } from 'node:net'
import { connect } from 'node:net'

/** Outcome of a connection attempt, as undici expects it. */
type ConnectCallback = (...result: [error: null, socket: Socket] | [error: Error, socket: null]) => void

interface ConnectTarget {
  readonly hostname: string
  readonly port: string
}

export interface Connector {
  readonly open: (target: ConnectTarget, callback: ConnectCallback) => void
  /** Whether the end of a connection that was reset is being handled right now. */
  readonly isHandlingReset: () => boolean
}

/** Short because a handshake takes one round trip and a request that was not yet written can go to another upstream. */
export const CONNECT_TIMEOUT_MS = 500
/** Idle time after which the operating system sends TCP keep-alive probes. */
const TCP_KEEP_ALIVE_DELAY_MS = 2_000

const SYSTEM_RESET_CODE = 'ECONNRESET'
const RESET_CODE = 'UPSTREAM_RESET'

/** Changes the code of a reset. Must be added before undici's listeners. */
function renameReset (error: Error & { code?: string }): void {
  if (error.code === SYSTEM_RESET_CODE) error.code = RESET_CODE
}

/** Creates a connector that calls `onConnected` with the duration of each handshake. */
export function createConnector (onConnected: (durationMs: number) => void): Connector {
  let isHandlingReset = false

  /** Must run before undici's listener, which ends the answer in the same event. */
  function detectReset (socket: Socket): void {
    // A connection that was reset has no remote address any more; one that the other side has ended keeps it.
    if (socket.remoteAddress !== undefined) return
    isHandlingReset = true
    queueMicrotask(() => { isHandlingReset = false })
  }

  return {
    isHandlingReset: () => isHandlingReset,
    open: ({ hostname, port }, callback) => {
      const connectStartedAt = performance.now()
      const socket = connect({ host: hostname, port: Number(port), noDelay: true, keepAlive: true, keepAliveInitialDelay: TCP_KEEP_ALIVE_DELAY_MS })
      const timer = setTimeout(() => socket.destroy(new Error('connection timed out')), CONNECT_TIMEOUT_MS)
      const onError = (error: Error): void => {
        clearTimeout(timer)
        callback(error, null)
      }
      socket.once('error', onError)
      socket.once('connect', () => {
        clearTimeout(timer)
        socket.off('error', onError)
        socket.on('error', renameReset)
        socket.once('end', () => detectReset(socket))
        onConnected(performance.now() - connectStartedAt)
        callback(null, socket)
      })
    }
  }
}
