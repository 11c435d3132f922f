/**
 * Opens connections for undici. It has its own connect timeout because undici's has a resolution of one second. It changes
 * the code of a reset, because undici treats one with the system's code as the end of an answer without a length.
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
  return {
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
        onConnected(performance.now() - connectStartedAt)
        callback(null, socket)
      })
    }
  }
}
