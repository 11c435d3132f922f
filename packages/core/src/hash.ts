/**
 * A hash for spreading work, the same in every process. It gives no protection against chosen texts.
 */

/** 32-bit FNV-1a with the finalizer of MurmurHash3, without which texts that differ in the last character rank alike. */
export function hash32 (text: string): number {
  let value = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) {
    value = Math.imul(value ^ text.charCodeAt(index), 0x01000193)
  }
  value = Math.imul(value ^ (value >>> 16), 0x85ebca6b)
  value = Math.imul(value ^ (value >>> 13), 0xc2b2ae35)
  return (value ^ (value >>> 16)) >>> 0
}
