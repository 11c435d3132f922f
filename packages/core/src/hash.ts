/**
 * A hash for spreading work, the same in every process. It gives no protection against chosen texts.
 */
import murmurhash from 'murmurhash'

/** 32-bit MurmurHash3. Non-ASCII characters are hashed by their UTF-8 bytes. */
export function hash32 (text: string): number {
  return murmurhash.v3(text)
}
