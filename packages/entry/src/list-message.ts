/**
 * Encodes and decodes the list of instances as the JSON bytes in the replies of `PullList`.
 */
import type { ListedInstance } from '@arbutustray/core'
import { formatPlatformError, parseInstanceList } from '@arbutustray/object-store'
import type { Result } from 'neverthrow'
import { decodeJson, encodeJson } from './json-bytes.js'

const EMPTY = new Uint8Array()

/** Encodes a list. No bytes stand for an empty list, which means that the sender has no list. */
export function encodeList (entries: readonly ListedInstance[]): Uint8Array {
  return entries.length === 0 ? EMPTY : encodeJson(entries)
}

/** Decodes a list. The error describes the problem in plain text. */
export function decodeList (bytes: Uint8Array): Result<readonly ListedInstance[], string> {
  return parseInstanceList(decodeJson(bytes)).mapErr(formatPlatformError)
}
