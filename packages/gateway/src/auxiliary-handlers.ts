/**
 * Request handlers of the auxiliary ports of an instance: readiness, directory and metrics.
 */
import type { InstanceDirectory } from '@arbutustray/steering'
import type { Metrics } from '@arbutustray/telemetry'
import type { RequestListener } from 'node:http'
import type { Dialect } from './dialect.js'
import { parseTarget } from './request-target.js'

/** Time that clients may cache a directory answer: about as long as it takes to detect a failed instance. */
const DIRECTORY_TTL_MS = 2_000
const METRICS_PATH = '/metrics'

export interface AuxiliaryHandlerOptions {
  readonly dialect: Dialect
  readonly accepts: () => boolean
  readonly directory: InstanceDirectory
  readonly maxTtlMs: number
  readonly metrics: Metrics
}

/** Serves a single path; other paths get 404, and a target that is no path 400. */
function servePath (path: string, handle: (query: URLSearchParams, response: Parameters<RequestListener>[1]) => void): RequestListener {
  return (request, response) => {
    request.resume()
    const url = parseTarget(request)
    if (url?.pathname === path) handle(url.searchParams, response)
    else response.writeHead(url === undefined ? 400 : 404).end()
  }
}

export function createReadyHandler ({ dialect, accepts }: AuxiliaryHandlerOptions): RequestListener {
  return servePath(dialect.readyPath, (_query, response) => response.writeHead(accepts() ? 200 : 503).end())
}

export function createDirectoryHandler ({ dialect, directory, maxTtlMs }: AuxiliaryHandlerOptions): RequestListener {
  return servePath(dialect.directoryPath, (query, response) => {
    const zone = query.get(dialect.directoryQuery.zone) ?? undefined
    const region = query.get(dialect.directoryQuery.region) ?? undefined
    const addresses = directory.addresses({ zone, region }, performance.now())
    if (addresses.length === 0) {
      response.writeHead(503).end()
      return
    }
    const body = dialect.directoryBody(addresses, Math.min(DIRECTORY_TTL_MS, maxTtlMs))
    response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  })
}

export function createMetricsHandler ({ metrics }: AuxiliaryHandlerOptions): RequestListener {
  return servePath(METRICS_PATH, (_query, response) => {
    metrics.text().then(
      text => response.writeHead(200, { 'content-type': metrics.contentType }).end(text),
      error => response.writeHead(500).end(String(error))
    )
  })
}
