/**
 * Finds the route of a request: of the routes for its host, the one with the longest matching path prefix.
 */
import type { Deployment, Route } from './deployment.js'

export interface RouteIndex {
  readonly find: (host: string, path: string) => Route | undefined
}

/** Builds the index of one deployment. A look-up takes one map access per segment of the path. */
export function createRouteIndex (deployment: Deployment): RouteIndex {
  const hosts = new Map<string, Map<string, Route>>()
  for (const route of deployment.routes) {
    const host = route.host.toLowerCase()
    const prefixes = hosts.get(host) ?? new Map<string, Route>()
    if (!prefixes.has(route.prefix)) prefixes.set(route.prefix, route)
    hosts.set(host, prefixes)
  }
  return {
    find: (host, path) => {
      const prefixes = hosts.get(host)
      if (prefixes === undefined) return undefined
      for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
        const route = prefixes.get(path.slice(0, end + 1))
        if (route !== undefined) return route
      }
      return undefined
    }
  }
}
