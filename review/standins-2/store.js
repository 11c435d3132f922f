/**
 * Stand-in of the platform's metadata store: lists, watches and conditional writes of objects over HTTP, in memory.
 * `refuse`, if set, decides which calls are refused with 503.
 */
import { createServer } from 'node:http'

const PAGE_ITEMS = 500

export class Store {
  #kinds = new Map()
  #history = []
  #revision = 10
  #waiting = new Set()
  #server
  /** Optional `(method, kind, query) => boolean`. */
  refuse = undefined

  async listen (address) {
    const [host, port] = address.split(':')
    this.#server = createServer((request, response) => this.#handle(request, response))
    await new Promise((resolve, reject) => { this.#server.once('error', reject).listen(Number(port), host, resolve) })
    this.address = address
  }

  close () {
    this.#server?.closeAllConnections()
    this.#server?.close()
  }

  /** Creates or replaces an object and returns it. The return is the store's acknowledgement. */
  put (kind, name, specification) {
    const objects = this.#objects(kind)
    const earlier = objects.get(name)
    if (earlier !== undefined && JSON.stringify(earlier.specification) === JSON.stringify(specification)) return earlier
    this.#revision += 1
    const metadata = { name, revision: this.#revision, created_rev: earlier?.metadata.created_rev ?? this.#revision, finalizers: [], deleting: false }
    const object = { metadata, specification, status: null }
    objects.set(name, object)
    this.#record(kind, object, false)
    return object
  }

  remove (kind, name) {
    const object = this.#objects(kind).get(name)
    if (object === undefined) return
    this.#revision += 1
    this.#objects(kind).delete(name)
    this.#record(kind, { ...object, metadata: { ...object.metadata, revision: this.#revision } }, true)
  }

  #objects (kind) {
    let objects = this.#kinds.get(kind)
    if (objects === undefined) this.#kinds.set(kind, objects = new Map())
    return objects
  }

  #record (kind, object, deleted) {
    this.#history.push({ kind, revision: this.#revision, deleted, object })
    for (const wake of [...this.#waiting]) wake()
  }

  #handle (request, response) {
    const url = new URL(request.url, 'http://store')
    const [, , , kind = '', rawName] = url.pathname.split('/')
    const name = rawName === undefined ? undefined : decodeURIComponent(rawName)
    const chunks = []
    request.on('data', chunk => chunks.push(chunk)).on('end', () => {
      if (this.refuse?.(request.method, kind, url.searchParams) === true) return this.#answer(response, 503, {})
      if (request.method === 'GET') return this.#read(kind, name, url.searchParams, response)
      const body = chunks.length === 0 ? undefined : JSON.parse(Buffer.concat(chunks).toString())
      this.#write(request.method, kind, name ?? body?.metadata?.name, body, response)
    })
  }

  #read (kind, name, query, response) {
    if (name !== undefined) {
      const object = this.#objects(kind).get(name)
      return this.#answer(response, object === undefined ? 404 : 200, object ?? {})
    }
    if (query.has('watch')) return this.#watch(kind, Number(query.get('watch')), Number(query.get('wait_ms') ?? 0), response)
    const after = query.get('after') ?? ''
    const all = [...this.#objects(kind).values()].filter(({ metadata }) => metadata.name > after).sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1)
    this.#answer(response, 200, { items: all.slice(0, PAGE_ITEMS), more: all.length > PAGE_ITEMS, current_rev: this.#revision })
  }

  #watch (kind, after, waitMs, response) {
    const finish = () => {
      clearTimeout(timer)
      this.#waiting.delete(check)
      const events = this.#history.filter(event => event.kind === kind && event.revision > after)
      this.#answer(response, 200, { events: events.map(({ deleted, object }) => ({ deleted, object })), current_rev: this.#revision })
    }
    const check = () => { if (this.#history.some(event => event.kind === kind && event.revision > after)) finish() }
    const timer = setTimeout(finish, waitMs)
    this.#waiting.add(check)
    response.once('close', () => {
      clearTimeout(timer)
      this.#waiting.delete(check)
    })
    check()
  }

  #write (method, kind, name, body, response) {
    const existing = this.#objects(kind).get(name)
    const stated = body?.metadata?.revision
    if (method === 'POST' && existing !== undefined) return this.#answer(response, 409, existing)
    if (method !== 'POST' && existing === undefined) return this.#answer(response, 404, {})
    if (stated !== undefined && existing !== undefined && stated !== existing.metadata.revision) return this.#answer(response, 409, existing)
    if (method === 'DELETE') {
      this.remove(kind, name)
      return this.#answer(response, 200, {})
    }
    this.#answer(response, 200, this.put(kind, name, body.specification))
  }

  #answer (response, status, body) {
    if (!response.writableEnded) response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }
}
