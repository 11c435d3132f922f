/**
 * A non-cryptographic hash for distributing load and ranking instances. It gives the same result in every process.
 */
import murmurhash from 'murmurhash'

/** Returns the 32-bit MurmurHash3 of the text's UTF-8 bytes. */
export function hash32 (text: string): number {
  return murmurhash.v3(text)
}
