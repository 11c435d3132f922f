/**
 * Stand-in of clients: requests over connections that are kept for many requests, and one request over a connection of its
 * own. Each attempt has an id of its own and states how long the client waits.
 */
import { Agent, request } from 'node:http'
import { randomBytes } from 'node:crypto'
import { HOST, sleep } from './scene.js'

export function newId () {
  return randomBytes(8).toString('hex')
}

/**
 * Sends one request and resolves with its outcome: `status` and `body` of a complete answer, else `error`. `write`, if set,
 * sends the body; else `body` is sent with its length.
 */
export async function send (record, { address, agent, method = 'GET', path, body, headers = {}, deadlineMs = 3_000, id = newId(), write }) {
  const [host, port] = address.split(':')
  record('sent', { id, method, path, to: address })
  return await new Promise(resolve => {
    let isDone = false
    const finish = outcome => {
      if (isDone) return
      isDone = true
      clearTimeout(timer)
      record('outcome', { id, ...outcome })
      resolve({ id, ...outcome })
    }
    const sent = request({
      host,
      port,
      method,
      path,
      agent: agent ?? false,
      headers: {
        host: HOST, 'arbutustray-attempt-id': id, 'arbutustray-deadline-milliseconds': String(deadlineMs), ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }), ...headers
      }
    })
    const timer = setTimeout(() => {
      finish({ error: 'no answer within the deadline' })
      sent.destroy()
    }, deadlineMs)
    sent.on('error', error => finish({ error: error.code ?? error.message }))
    sent.once('response', response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.on('error', () => {})
      response.once('close', () => {
        if (!response.complete) return finish({ error: `answer ${response.statusCode} broke off` })
        finish({ status: response.statusCode, signature: response.headers['arbutustray-response-signature'], retryAfter: response.headers['retry-after'], body: Buffer.concat(chunks).toString() })
      })
    })
    if (write === undefined) sent.end(body)
    else write(sent)
  })
}

/** A client that sends one request after the other on a connection that it keeps, until `stop` is called. */
export class KeptClient {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 })
  #isStopped = false
  /** Outcomes, with the number of answers that the connection had brought before. */
  outcomes = []

  constructor (record, nextRequest, pauseMs) {
    this.done = this.#run(record, nextRequest, pauseMs)
  }

  stop () {
    this.#isStopped = true
  }

  async #run (record, nextRequest, pauseMs) {
    let answered = 0
    while (!this.#isStopped) {
      const outcome = await send(record, { agent: this.#agent, ...nextRequest() })
      this.outcomes.push({ ...outcome, answeredBefore: answered })
      if (outcome.error === undefined) answered += 1
      else {
        answered = 0
        this.#agent.destroy()
        this.#agent = new Agent({ keepAlive: true, maxSockets: 1 })
      }
      await sleep(pauseMs)
    }
    this.#agent.destroy()
  }
}
