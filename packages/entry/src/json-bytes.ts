/**
 * JSON values as the bytes that peers exchange.
 */

export function encodeJson (value: unknown): Uint8Array {
  return Buffer.from(JSON.stringify(value))
}

/** The value, or `undefined` for bytes that are no JSON. */
export function decodeJson (bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString('utf8'))
  } catch {
    return undefined
  }
}
