/**
 * JSON with sorted member names, so that equal values have equal texts and hashes on every instance.
 */

/** Serializes plain data. Members that are `undefined` are left out. */
export function canonicalJson (value: unknown): string {
  return JSON.stringify(value, (_name, member: unknown) => {
    if (typeof member !== 'object' || member === null || Array.isArray(member)) return member
    return Object.fromEntries(Object.entries(member).sort(([a], [b]) => (a < b ? -1 : a > b ? 1 : 0)))
  })
}
