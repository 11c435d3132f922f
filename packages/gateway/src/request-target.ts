/**
 * Parses the request target of a call to one of the auxiliary ports.
 */
import type { IncomingMessage } from 'node:http'

const BASE = 'http://localhost'

/** The target's path and query; `undefined` for a target that is no path, such as `//`, at which `URL` throws. */
export function parseTarget ({ url = '/' }: Pick<IncomingMessage, 'url'>): URL | undefined {
  return url.startsWith('/') && URL.canParse(url, BASE) ? new URL(url, BASE) : undefined
}
