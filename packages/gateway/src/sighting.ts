/**
 * Reads sightings that other instances send. An instance of another build, or one in trouble, may send anything.
 */
import type { Sighting } from '@arbutustray/steering'

export function isSighting (value: unknown): value is Sighting {
  if (typeof value !== 'object' || value === null) return false
  const { id, addressHash, ageMs, accepts, isReading } = value as Partial<Record<keyof Sighting, unknown>>
  return typeof id === 'string' && typeof addressHash === 'number' && typeof ageMs === 'number' && ageMs >= 0 &&
    typeof accepts === 'boolean' && typeof isReading === 'boolean'
}

/** Parses the sighting in a poll; `undefined` if it can't be read. */
export function parseSighting (text: string): Sighting | undefined {
  try {
    const value: unknown = JSON.parse(text)
    return isSighting(value) ? value : undefined
  } catch {
    // The caller answers and logs that the poll can't be read.
    return undefined
  }
}

/** The readable sightings of a reply; an instance of an earlier build sends none. */
export function readSightings (value: unknown): readonly Sighting[] {
  return Array.isArray(value) ? value.filter(isSighting) : []
}
