/**
 * Keeps the connections of callers within a part of the process's file descriptors, so that upstreams, other instances and
 * the store keep theirs during a burst. Near the limit, idle connections are closed and answers ask callers to close theirs;
 * at the limit, new connections are closed before anything is read from them.
 */
import type { Telemetry } from '@arbutustray/telemetry'
import type { Socket } from 'node:net'
import type { HttpListener } from './http-listener.js'

export interface ConnectionBudget {
  /** Whether callers hold so many connections that idle ones are closed. */
  readonly isShort: () => boolean
  /** Closes idle connections if there are too many; called periodically. */
  readonly enforce: () => void
}

export interface ConnectionBudgetOptions {
  readonly listener: HttpListener
  readonly telemetry: Pick<Telemetry, 'log' | 'metrics'>
  /** Files and sockets that the process may have open. */
  readonly descriptorLimit: number
}

/** Descriptors that the runtime and files need. */
const RESERVED_DESCRIPTORS = 200
/** Part of the others for callers: a request needs one connection of a caller and at most two of upstreams. */
const CALLER_SHARE = 0.6
/** Part of the callers' connections above which idle ones are closed. */
const SHORT_ABOVE_SHARE = 0.9

export function maxCallerConnections (descriptorLimit: number): number {
  return Math.max(1, Math.floor((descriptorLimit - RESERVED_DESCRIPTORS) * CALLER_SHARE))
}

export function createConnectionBudget ({ listener, telemetry, descriptorLimit }: ConnectionBudgetOptions): ConnectionBudget {
  const max = maxCallerConnections(descriptorLimit)
  let wasShort = false
  let dropped = 0
  listener.server.on('connection', (socket: Socket) => {
    if (listener.openConnections() <= max) return
    dropped += 1
    telemetry.metrics.increment('arbutustray_dropped_caller_connections_total', {})
    socket.destroy()
  })

  function isShort (): boolean {
    return listener.openConnections() > max * SHORT_ABOVE_SHARE
  }

  return {
    isShort,
    enforce: () => {
      if (isShort() && !wasShort) telemetry.log('connections-short', { open: listener.openConnections(), max, dropped })
      dropped = 0
      wasShort = isShort()
      if (wasShort) listener.server.closeIdleConnections()
    }
  }
}
