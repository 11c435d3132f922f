/**
 * Compares shared secrets in constant time.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

/** Compares the hashes of both tokens, which have equal lengths, so that the time reveals nothing about the values. */
export function tokensEqual (given: string | undefined, expected: string): boolean {
  return given !== undefined && timingSafeEqual(digest(given), digest(expected))
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
