/**
 * Encodes and decodes the JSON values in `bytes` fields of the peer protocol.
 */

export function encodeJson (value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value))
}

/** Returns the decoded value, or `undefined` if the bytes are not valid JSON. */
export function decodeJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch {
    return undefined
  }
}
