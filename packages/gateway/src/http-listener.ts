/**
 * An HTTP server that listens on a `host:port` address and can stop accepting connections before it closes.
 */
import type { RequestListener, Server, ServerOptions } from 'node:http'
import type { Server as NetServer } from 'node:net'
import { createServer } from 'node:http'
import { createServer as createNetServer } from 'node:net'
import { parseAddress } from '@arbutustray/http'
import { createAcceptWait } from './accept-wait.js'

export interface HttpListener {
  readonly server: Server
  /** Resolves when the port is open. */
  readonly listen: (address: string) => Promise<void>
  /**
   * Shortens the backlog if connections wait so long that `stopAccepting` with that limit could not accept them all. Called
   * from time to time before the port closes; new callers that get no connection turn to another instance.
   */
  readonly prepareToClose: (maxWaitMs: number) => void
  /**
   * Stops accepting connections and closes idle ones; the others close after their next answer. Connections that the
   * operating system has established already are accepted first, since it would reset them when the port closes. If new
   * ones keep it from finding the backlog empty, the port closes after `maxWaitMs` in any case.
   */
  readonly stopAccepting: (maxWaitMs: number) => Promise<void>
  /** Number of open connections. */
  readonly openConnections: () => number
  /** Longest time that an established connection can have waited to be accepted, in milliseconds. */
  readonly maxAcceptWaitMs: () => number
  /** Closes all connections immediately. */
  readonly destroy: () => void
}

/** Connections that may wait to be accepted. */
const DEFAULT_BACKLOG = 128
/** Length of the backlog while the port closes: the shortest that Node sets. */
const CLOSING_BACKLOG = 1
/**
 * Wait to be accepted, in milliseconds, up to which a closing port keeps its full backlog, so that new callers get an
 * answer. With a short backlog, many get no connection, which they notice when they try again.
 */
const FULL_BACKLOG_MS = 50
/** Part of the time to close the port that connections may wait for before it. */
const MAX_WAIT_SHARE = 0.5
/**
 * Limit on the wait for an empty backlog, in milliseconds: callers that got no connection try again after a second, and
 * then learn from the closed port that they must use another instance.
 */
const MAX_CLOSING_MS = 900

async function nextIteration (): Promise<void> {
  await new Promise<void>(resolve => setImmediate(resolve))
}

export function createHttpListener (options: ServerOptions, onRequest: RequestListener, backlog = DEFAULT_BACKLOG): HttpListener {
  const server = createServer(options, onRequest)
  let accepted = 0
  let ended = 0
  /** Set by the first call that closes the port. */
  let closed: Promise<void> | undefined
  /** Listens on the server's handle with the shortened backlog. */
  let successor: NetServer | undefined
  const acceptWait = createAcceptWait(backlog)
  server.on('connection', socket => {
    accepted += 1
    acceptWait.recordAccept()
    socket.once('close', () => { ended += 1 })
  })

  /** Waits for an iteration that accepted no connection, since each one accepts a connection if any waits. */
  async function emptyBacklog (endsAt: number): Promise<boolean> {
    while (performance.now() < endsAt) {
      const before = accepted
      await nextIteration()
      if (accepted === before) return true
    }
    return false
  }

  /** Shortens the backlog of the open port, by listening again on its handle with another server. */
  function shortenBacklog (): void {
    successor ??= createNetServer({ allowHalfOpen: true, noDelay: true }, socket => server.emit('connection', socket)).listen(server, CLOSING_BACKLOG)
  }

  async function close (maxWaitMs: number): Promise<void> {
    if (!server.listening) return
    const startedAt = performance.now()
    const closingMs = Math.min(maxWaitMs, MAX_CLOSING_MS)
    if (!await emptyBacklog(startedAt + Math.min(FULL_BACKLOG_MS - acceptWait.maxWaitMs(), closingMs))) {
      shortenBacklog()
      await emptyBacklog(startedAt + closingMs)
    }
    successor?.close()
    server.close()
    server.closeIdleConnections()
  }

  return {
    server,
    openConnections: () => accepted - ended,
    maxAcceptWaitMs: acceptWait.maxWaitMs,
    listen: async address => {
      const { host, port } = parseAddress(address)
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject)
        server.listen({ host, port, backlog }, () => {
          server.off('error', reject)
          resolve()
        })
      })
    },
    prepareToClose: maxWaitMs => {
      if (server.listening && acceptWait.maxWaitMs() > MAX_WAIT_SHARE * Math.min(maxWaitMs, MAX_CLOSING_MS)) shortenBacklog()
    },
    stopAccepting: async maxWaitMs => { await (closed ??= close(maxWaitMs)) },
    destroy: () => server.closeAllConnections()
  }
}
