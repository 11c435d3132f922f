/**
 * HTTP stand-in of the platform, for tests and the demo: the object API and the lagging instance list, with fault
 * injection.
 *
 * `POST /control {down?, slowMs?, loseReplies?, lagMs?}` sets fault injection switches; `GET /control` returns them and
 * the number of calls by kind. `PUT /control/instances [...]` adds or replaces list entries by id; `DELETE
 * /control/instances?id=ID` removes one. The list shows each change after `lagMs`.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { MemoryPlatform, MemoryPlatformSwitches, PlatformError } from '@arbutustray/object-store'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { RouteTable } from '../http-server.js'
import { createMemoryPlatform } from '@arbutustray/object-store'
import { createServer } from 'node:http'
import { handleRoute, close, listen, readJson, sendJson } from '../http-server.js'

/** A running platform stand-in. */
export interface PlatformStandin {
  readonly address: string
  readonly url: string
  /** Fault injection switches, as set by `POST /control`. */
  readonly switches: MemoryPlatformSwitches & { lagMs: number }
  readonly putInstances: (entries: readonly ListedInstance[]) => void
  readonly removeInstance: (id: string) => void
  readonly close: () => Promise<void>
}

const STATUS_BY_ERROR: { readonly [T in PlatformError['type']]: number } = {
  unavailable: 503,
  conflict: 409,
  'reply-lost': 0,
  'not-found': 404,
  malformed: 400
}

function sendError (response: ServerResponse, error: PlatformError): void {
  const status = STATUS_BY_ERROR[error.type]
  // Status 0 stands for a lost reply: the client sees the connection close without a response.
  if (status === 0) response.destroy()
  else sendJson(response, status, error.type === 'conflict' ? { version: error.currentVersion } : { error: error.type })
}

/** Creates a request handler that serves the object API from a memory platform. */
function createObjectHandler (platform: MemoryPlatform) {
  return async (request: IncomingMessage, response: ServerResponse, url: URL): Promise<void> => {
    const name = decodeURIComponent(url.pathname.slice('/objects/'.length))
    const aboveVersion = url.searchParams.get('watch')
    if (request.method === 'PUT') {
      const value = await readJson(request)
      const result = await platform.put(name, value, Number(url.searchParams.get('expect')))
      result.match(version => sendJson(response, 200, { version }), error => sendError(response, error))
    } else if (aboveVersion === null) {
      const result = await platform.get(name)
      result.match(object => sendJson(response, 200, object), error => sendError(response, error))
    } else {
      const clientClosed = new AbortController()
      response.once('close', () => clientClosed.abort())
      const result = await platform.watch(name, Number(aboveVersion), clientClosed.signal)
      result.match(
        object => object === undefined ? response.writeHead(304).end() : sendJson(response, 200, object),
        error => sendError(response, error)
      )
    }
  }
}

/** Starts the stand-in on a loopback port. */
export async function startPlatform (options: { readonly port?: number, readonly lagMs?: number } = {}): Promise<PlatformStandin> {
  const platform = createMemoryPlatform()
  const switches = Object.assign(platform.switches, { lagMs: options.lagMs ?? 0 })
  const counts = { reads: 0, writes: 0, watches: 0, lists: 0 }
  const handleObject = createObjectHandler(platform)
  const openResponses = new Set<ServerResponse>()

  /** Applies a change of the instance list after the lag. */
  function applyAfterLag (change: () => void): void {
    if (switches.lagMs === 0) change()
    else setTimeout(change, switches.lagMs).unref()
  }

  function putInstances (entries: readonly ListedInstance[]): void {
    applyAfterLag(() => entries.forEach(entry => platform.instances.set(entry.id, entry)))
  }

  function removeInstance (id: string): void {
    applyAfterLag(() => platform.instances.delete(id))
  }

  const controlRoutes: RouteTable = {
    'GET /control': () => ({ ...switches, counts }),
    'POST /control': async request => {
      Object.assign(switches, await readJson(request))
      if (switches.down) for (const response of openResponses) response.destroy()
    },
    'PUT /control/instances': async request => putInstances(await readJson(request)),
    'DELETE /control/instances': (_request, url) => removeInstance(url.searchParams.get('id') ?? '')
  }

  async function serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (await handleRoute(controlRoutes, request, response)) return
    if (switches.down) {
      response.destroy()
      return
    }
    openResponses.add(response)
    response.once('close', () => openResponses.delete(response))
    const url = new URL(request.url ?? '/', 'http://localhost')
    if (url.pathname.startsWith('/objects/')) {
      counts[request.method === 'PUT' ? 'writes' : url.searchParams.has('watch') ? 'watches' : 'reads'] += 1
      await handleObject(request, response, url)
    } else if (url.pathname === '/instances') {
      counts.lists += 1
      const result = await platform.list()
      result.match(entries => sendJson(response, 200, entries), error => sendError(response, error))
    } else {
      sendJson(response, 404, { error: 'not-found' })
    }
  }

  const server = createServer((request, response) => {
    serve(request, response).catch(error => {
      if (response.headersSent) response.destroy()
      else sendJson(response, 400, { error: String(error) })
    })
  })
  const address = await listen(server, options.port ?? 0)
  return { address, url: `http://${address}`, switches, putInstances, removeInstance, close: async () => await close(server) }
}
