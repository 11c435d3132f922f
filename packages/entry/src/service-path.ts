/**
 * Parses the URL of a request for a service. Routes are matched by the decoded path, so that percent-encoding can't
 * bypass a protected route. Upstreams receive the path as sent.
 */

export interface ServicePath {
  readonly service: string
  /** Path below the service with the query, as sent; begins with `/`. */
  readonly requestTarget: string
  /** Decoded path below the service without the query and without repeated slashes; begins with `/`. */
  readonly path: string
}

const MAX_SERVICE_LENGTH = 128

// eslint-disable-next-line no-control-regex
const FORBIDDEN = /[\u0000-\u001f\u007f\\]/

/** Parses a URL that begins with `prefix`. Returns `undefined` if it is malformed or contains dot segments. */
export function parseServicePath (url: string, prefix: string): ServicePath | undefined {
  const query = url.indexOf('?')
  const pathEnd = query === -1 ? url.length : query
  const slash = url.indexOf('/', prefix.length)
  const serviceEnd = slash === -1 || slash > pathEnd ? pathEnd : slash
  const service = decode(url.slice(prefix.length, serviceEnd))
  if (service === undefined || service === '' || service.length > MAX_SERVICE_LENGTH) return undefined
  const path = normalize(url.slice(serviceEnd, pathEnd))
  if (path === undefined) return undefined
  const requestTarget = serviceEnd === pathEnd ? `/${url.slice(pathEnd)}` : url.slice(serviceEnd)
  return { service, requestTarget, path }
}

function decode (text: string): string | undefined {
  if (!text.includes('%')) return text
  try {
    return decodeURIComponent(text)
  } catch {
    return undefined
  }
}

function normalize (raw: string): string | undefined {
  const decoded = decode(raw)
  if (decoded === undefined || FORBIDDEN.test(decoded)) return undefined
  const path = decoded.includes('//') ? decoded.replace(/\/{2,}/g, '/') : decoded
  if (path.includes('/.') && path.split('/').some(segment => segment === '.' || segment === '..')) return undefined
  return path === '' ? '/' : path
}
