/**
 * HTTP servers of one instance: listening on `host:port` and an orderly close.
 */
import type { RequestListener, Server, ServerOptions } from 'node:http'
import { createServer } from 'node:http'
import { parseAddress } from '@arbutustray/http'

export interface HttpListener {
  readonly server: Server
  /** Resolves when the port is open. */
  readonly listen: (address: string) => Promise<void>
  /** Accepts no more connections and closes idle ones; the others close with their next answer. */
  readonly stopAccepting: () => void
  /** Breaks all connections. */
  readonly destroy: () => void
}

/** Connections that wait to be accepted. Many callers connect at once after another instance ends. */
const MAX_PENDING_CONNECTIONS = 4_096

export function createHttpListener (options: ServerOptions, onRequest: RequestListener): HttpListener {
  const server = createServer(options, onRequest)
  return {
    server,
    listen: async address => {
      const { host, port } = parseAddress(address)
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject)
        server.listen({ host, port, backlog: MAX_PENDING_CONNECTIONS }, () => {
          server.off('error', reject)
          resolve()
        })
      })
    },
    stopAccepting: () => {
      server.close()
      server.closeIdleConnections()
    },
    destroy: () => server.closeAllConnections()
  }
}
