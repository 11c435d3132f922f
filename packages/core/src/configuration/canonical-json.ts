/**
 * JSON with sorted property names, so that equal values have the same text and hash on every instance.
 */

/** Serializes plain data. Properties that are `undefined` are omitted. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_name, member: unknown) => {
    if (typeof member !== 'object' || member === null || Array.isArray(member)) return member
    return Object.fromEntries(Object.entries(member).sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0)))
  })
}
