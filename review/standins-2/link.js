/**
 * A proxy on the loopback interface in front of one address. While it is cut, it forwards nothing in either direction and
 * resets nothing, like a partition; what it holds is delivered when the cut has healed.
 */
import { connect, createServer } from 'node:net'

export class Link {
  #isCut = false
  #held = []
  #sockets = new Set()
  #server

  constructor (address, target) {
    this.address = address
    this.target = target
    /** Bytes that were forwarded to the target. */
    this.forwarded = 0
  }

  async listen () {
    const [host, port] = this.address.split(':')
    this.#server = createServer({ noDelay: true }, socket => this.#accept(socket))
    await new Promise((resolve, reject) => { this.#server.once('error', reject).listen(Number(port), host, resolve) })
  }

  cut () {
    this.#isCut = true
  }

  heal () {
    this.#isCut = false
    for (const step of this.#held.splice(0)) step()
  }

  close () {
    this.#server?.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #do (step) {
    if (this.#isCut || this.#held.length > 0) this.#held.push(step)
    else step()
  }

  #accept (socket) {
    const [host, port] = this.target.split(':')
    const target = connect({ host, port: Number(port), noDelay: true })
    this.#join(socket, target, bytes => { this.forwarded += bytes })
    this.#join(target, socket, () => {})
  }

  #join (from, to, count) {
    this.#sockets.add(from)
    from.on('data', chunk => this.#do(() => {
      count(chunk.length)
      if (!to.destroyed) to.write(chunk)
    }))
    from.on('end', () => this.#do(() => to.end()))
    from.on('error', () => this.#do(() => to.destroy()))
    from.once('close', () => {
      this.#sockets.delete(from)
      this.#do(() => to.destroy())
    })
  }
}
