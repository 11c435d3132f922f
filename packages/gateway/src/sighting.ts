/**
 * Compact form in which instances send sightings to each other: a list of `[id, address hash, age, flags]`. An instance of
 * another build, or one in trouble, may send anything, so each row is checked.
 */
import type { Sighting } from '@arbutustray/steering'

export type SightingRow = readonly [id: string, addressHash: number, ageMs: number, flags: number]

const ACCEPTS = 1
const READS = 2

export function encodeSighting ({ id, addressHash, ageMs, accepts, isReading }: Sighting): SightingRow {
  return [id, addressHash, ageMs, (accepts ? ACCEPTS : 0) + (isReading ? READS : 0)]
}

/** The sighting in a row; `undefined` if it can't be read. */
function decodeSighting (row: unknown): Sighting | undefined {
  if (!Array.isArray(row)) return undefined
  const [id, addressHash, ageMs, flags] = row as readonly unknown[]
  if (typeof id !== 'string' || typeof addressHash !== 'number' || typeof ageMs !== 'number' || ageMs < 0 || typeof flags !== 'number') return undefined
  return { id, addressHash, ageMs, accepts: (flags & ACCEPTS) !== 0, isReading: (flags & READS) !== 0 }
}

/** Parses the sighting in a poll; `undefined` if it can't be read. */
export function parseSighting (text: string): Sighting | undefined {
  try {
    return decodeSighting(JSON.parse(text))
  } catch {
    // The caller answers and logs that the poll can't be read.
    return undefined
  }
}

/** The readable sightings of a reply; an instance of an earlier build sends none. */
export function readSightings (rows: unknown): readonly Sighting[] {
  return Array.isArray(rows) ? rows.map(decodeSighting).filter(sighting => sighting !== undefined) : []
}
