/**
 * Stand-in of a client that sends further idempotent requests before the first one is answered, on a connection that it keeps.
 * It reads at once whatever arrives.
 */
import { connect } from 'node:net'
import { newId } from './client.js'
import { HOST } from './scene.js'

export class PipeliningClient {
  #socket
  #input = Buffer.alloc(0)
  #due = []
  #answered = 0
  #whenEmpty
  isClosed = false
  /** Requests that were on the connection when it was closed: their ids, and whether a byte of an answer had arrived. */
  unanswered = []
  outcomes = []

  constructor (record, address) {
    this.record = record
    this.address = address
  }

  async connect () {
    const [host, port] = this.address.split(':')
    this.#socket = connect(Number(port), host)
    this.#socket.on('data', chunk => this.#read(chunk))
    this.#socket.on('error', () => {})
    this.#socket.once('close', () => {
      this.isClosed = true
      this.unanswered = this.#due.map((request, index) => ({ id: request.id, isFirst: index === 0, hasBegun: index === 0 && this.#input.length > 0, answeredBefore: this.#answered }))
      for (const { id } of this.unanswered) this.record('closed-without-answer', { id })
      this.#whenEmpty?.()
    })
    await new Promise((resolve, reject) => this.#socket.once('connect', resolve).once('error', reject))
  }

  /** Sends the requests at once and resolves when all are answered or the connection is closed. */
  async exchange (paths, deadlineMs) {
    if (this.isClosed) return
    const texts = paths.map(path => {
      const id = newId()
      this.#due.push({ id, path })
      this.record('sent', { id, path, to: this.address })
      return `GET ${path} HTTP/1.1\r\nHost: ${HOST}\r\nArbutustray-Attempt-Id: ${id}\r\nArbutustray-Deadline-Milliseconds: ${deadlineMs}\r\n\r\n`
    })
    const done = new Promise(resolve => { this.#whenEmpty = resolve })
    this.#socket.write(texts.join(''))
    await done
  }

  end () {
    this.#socket?.destroy()
  }

  #read (chunk) {
    this.#input = Buffer.concat([this.#input, chunk])
    for (;;) {
      const headEnd = this.#input.indexOf('\r\n\r\n')
      if (headEnd < 0) return
      const head = this.#input.toString('latin1', 0, headEnd)
      const [, length] = /\r\ncontent-length: (\d+)/i.exec(head) ?? []
      const size = headEnd + 4 + Number(length ?? 0)
      if (this.#input.length < size) return
      this.#input = this.#input.subarray(size)
      const request = this.#due.shift()
      const status = Number(head.slice(9, 12))
      this.#answered += 1
      this.outcomes.push({ id: request?.id, status, echoedId: /\r\narbutustray-attempt-id: (\S+)/i.exec(head)?.[1] })
      this.record('outcome', { id: request?.id, status })
      if (this.#due.length === 0) this.#whenEmpty?.()
    }
  }
}
