/**
 * Selects the headers to forward, as flat arrays of alternating names and values, which Node and undici accept. Also parses
 * credentials and numbers in header values.
 */
import type { HeaderNames } from './dialect.js'
import { isHopByHop, parseConnectionOptions, firstValue } from '@arbutustray/http'

const AUTHORIZATION = 'authorization'
/** Credentials with an API key of visible ASCII characters. The name of the scheme is not case-sensitive. */
const BEARER = /^bearer +([\x21-\x7e]+)$/i

type Headers = Readonly<Record<string, string | string[] | undefined>>

/** Request headers to forward to the upstream, without the length and the headers that are set for each attempt. */
export function filterRequestHeaders (raw: readonly string[], connection: string | undefined, names: HeaderNames): string[] {
  const connectionOptions = parseConnectionOptions(connection)
  const kept: string[] = []
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const lower = raw[index].toLowerCase()
    if (isHopByHop(lower, connectionOptions) || lower === 'content-length' || lower === 'expect') continue
    if (lower === names.deadline || lower === names.expectedUpstream) continue
    kept.push(raw[index], raw[index + 1])
  }
  return kept
}

/** Removes the headers that identify the sender: the credentials and a team that the caller stated. */
export function removeTeamHeaders (headers: readonly string[], names: HeaderNames): string[] {
  const kept: string[] = []
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const lower = headers[index].toLowerCase()
    if (lower !== AUTHORIZATION && lower !== names.team) kept.push(headers[index], headers[index + 1])
  }
  return kept
}

/**
 * API key in the `Authorization` header of a request: empty if the header is malformed or occurs more than once, and
 * `undefined` if there is none.
 */
export function parseApiKey (raw: readonly string[]): string | undefined {
  let found: string | undefined
  for (let index = 0; index + 1 < raw.length; index += 2) {
    // The length is compared first because it excludes nearly all other headers.
    if (raw[index].length !== AUTHORIZATION.length || raw[index].toLowerCase() !== AUTHORIZATION) continue
    if (found !== undefined) return ''
    found = BEARER.exec(raw[index + 1])?.[1] ?? ''
  }
  return found
}

/** Headers of an upstream's answer to forward to the caller. */
export function filterAnswerHeaders (headers: Headers): string[] {
  const connectionOptions = parseConnectionOptions(firstValue(headers.connection))
  const kept: string[] = []
  for (const name in headers) {
    if (isHopByHop(name, connectionOptions)) continue
    const value = headers[name]
    if (typeof value === 'string') kept.push(name, value)
    else value?.forEach(one => kept.push(name, one))
  }
  return kept
}

/** Parses a non-negative decimal number without an exponent; `undefined` for any other text. */
export function parseDecimal (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,12}(\.\d{1,12})?$/.test(text) ? Number(text) : undefined
}

/** Parses a non-negative whole number of up to 12 digits; `undefined` for any other text. */
export function parseWholeNumber (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,12}$/.test(text) ? Number(text) : undefined
}
