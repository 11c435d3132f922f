/**
 * Filters of HTTP headers. Headers that are sent are flat arrays of name and value, as Node and undici accept them.
 */
import type { HeaderNames } from './dialect.js'
import { isHopByHop, namedInConnection, single } from '@arbutustray/http'

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Headers of a request that go to the upstream. Length and the headers that are set anew for each attempt are left out. */
export function filterRequestHeaders (raw: readonly string[], connection: string | undefined, names: HeaderNames): string[] {
  const named = namedInConnection(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const lower = raw[index].toLowerCase()
    if (isHopByHop(lower, named) || lower === 'content-length' || lower === 'expect') continue
    if (lower === names.deadline || lower === names.expectedUpstream) continue
    kept.push(raw[index], raw[index + 1])
  }
  return kept
}

/** Headers of an answer that go to the caller. */
export function filterAnswerHeaders (headers: Headers): string[] {
  const named = namedInConnection(single(headers.connection))
  const kept: string[] = []
  for (const name in headers) {
    if (isHopByHop(name, named)) continue
    const value = headers[name]
    if (typeof value === 'string') kept.push(name, value)
    else value?.forEach(one => kept.push(name, one))
  }
  return kept
}

/** A whole number of at least 0; `undefined` for any other text. */
export function parseWholeNumber (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,12}$/.test(text) ? Number(text) : undefined
}
