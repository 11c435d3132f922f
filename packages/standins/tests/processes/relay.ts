/**
 * TCP relay that simulates a network partition. `cut` closes all open connections and refuses new ones until `heal`.
 */
import type { Socket } from 'node:net'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'

export interface Relay {
  readonly address: string
  readonly cut: () => Promise<void>
  readonly heal: () => Promise<void>
}

/** Relays connections from a loopback port to `target`, in the form `host:port`. */
export async function createRelay (port: number, target: string): Promise<Relay> {
  const [host = '', targetPort = ''] = target.split(':')
  const sockets = new Set<Socket>()
  const track = (socket: Socket, other: Socket): void => {
    sockets.add(socket)
    socket.on('error', () => other.destroy())
    socket.on('close', () => {
      sockets.delete(socket)
      other.destroy()
    })
  }
  const server = createServer({ allowHalfOpen: true }, socket => {
    const upstream = connect({ host, port: Number(targetPort), allowHalfOpen: true })
    track(socket, upstream)
    track(upstream, socket)
    socket.pipe(upstream).pipe(socket)
  })
  const heal = async (): Promise<void> => {
    server.listen(port, '127.0.0.1')
    await once(server, 'listening')
  }
  await heal()
  return {
    address: `127.0.0.1:${port}`,
    heal,
    cut: async () => {
      if (!server.listening) return
      const closed = once(server.close(), 'close')
      for (const socket of sockets) socket.destroy()
      await closed
    }
  }
}
