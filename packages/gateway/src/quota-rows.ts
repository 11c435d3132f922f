/**
 * Form in which instances ask for and grant parts of teams' quotas: a list of `[team, share, tokens]`. An instance of another
 * build, or one in trouble, may send anything, so each row is checked.
 */
import type { QuotaRequest } from '@arbutustray/steering'

export interface QuotaRows {
  /** The readable rows. */
  readonly rows: readonly QuotaRequest[]
  /** Whether all could be read. */
  readonly isComplete: boolean
}

/** Limit on the tokens of a row; more than any quota bucket of a team holds. */
const MAX_TOKENS = 1e6

function isRow (row: unknown): row is QuotaRequest {
  if (!Array.isArray(row)) return false
  const [team, share, tokens] = row as readonly unknown[]
  return typeof team === 'string' && typeof share === 'number' && share >= 0 && share <= 1 && typeof tokens === 'number' && tokens >= 0 && tokens <= MAX_TOKENS
}

export function readQuotaRows (value: unknown): QuotaRows {
  if (!Array.isArray(value)) return { rows: [], isComplete: false }
  const rows = value.filter(isRow)
  return { rows, isComplete: rows.length === value.length }
}

/** Reads the rows in the query of a poll. */
export function parseQuotaRows (text: string): QuotaRows {
  try {
    return readQuotaRows(JSON.parse(text))
  } catch {
    // The caller logs that the rows can't be read.
    return { rows: [], isComplete: false }
  }
}
