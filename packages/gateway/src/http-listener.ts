/**
 * An HTTP server that listens on a `host:port` address and can stop accepting connections before it closes.
 */
import type { RequestListener, Server, ServerOptions } from 'node:http'
import { createServer } from 'node:http'
import { parseAddress } from '@arbutustray/http'

export interface HttpListener {
  readonly server: Server
  /** Resolves when the port is open. */
  readonly listen: (address: string) => Promise<void>
  /** Stops accepting connections and closes idle ones; the others close after their next answer. */
  readonly stopAccepting: () => void
  /** Closes all connections immediately. */
  readonly destroy: () => void
}

/** Length of the listen backlog. Many callers connect at once after another instance stops. */
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
