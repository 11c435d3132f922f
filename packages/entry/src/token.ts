/**
 * Comparison of shared secrets.
 */
import { createHash, timingSafeEqual } from 'node:crypto'

/** Compares in a time that depends on neither value: equal lengths come from hashing both. */
export function tokensEqual (given: string | undefined, expected: string): boolean {
  return given !== undefined && timingSafeEqual(digest(given), digest(expected))
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
