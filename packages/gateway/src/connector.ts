/**
 * Opens connections for undici. It has its own connect timeout because undici's has a resolution of one second, and it
 * tracks connection errors because undici treats a reset as the end of an answer without a length.
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
  /** Whether the error event of one of the connections is being handled right now. */
  readonly isHandlingError: () => boolean
}

/** Short because a handshake takes one round trip and a request that was not yet written can go to another upstream. */
export const CONNECT_TIMEOUT_MS = 500
/** Idle time after which the operating system sends TCP keep-alive probes. */
const TCP_KEEP_ALIVE_DELAY_MS = 2_000

/** Creates a connector that calls `onConnected` with the duration of each handshake. */
export function createConnector (onConnected: (durationMs: number) => void): Connector {
  let isHandlingError = false

  function trackErrors (socket: Socket): void {
    // Runs before undici's listener, which ends the answer in the same event.
    socket.on('error', () => {
      isHandlingError = true
      queueMicrotask(() => { isHandlingError = false })
    })
  }

  return {
    isHandlingError: () => isHandlingError,
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
        trackErrors(socket)
        onConnected(performance.now() - connectStartedAt)
        callback(null, socket)
      })
    }
  }
}
