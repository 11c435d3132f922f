/**
 * Forms in which instances ask for and grant parts of teams' quotas: `team,share,tokens;...` in the query of an inquiry, which
 * is half as long as encoded JSON, and a list of `[team, share, tokens]` in the reply. An instance of another build, or one in
 * trouble, may send anything, so each row is checked.
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
const ROW_PATTERN = /^([^,]*),([\d.]+),([\d.]+)$/

function isRow (row: unknown): row is QuotaRequest {
  if (!Array.isArray(row)) return false
  const [team, share, tokens] = row as readonly unknown[]
  return typeof team === 'string' && typeof share === 'number' && share >= 0 && share <= 1 && typeof tokens === 'number' && tokens >= 0 && tokens <= MAX_TOKENS
}

/** Reads the rows of a reply. */
export function readQuotaRows (value: unknown): QuotaRows {
  if (!Array.isArray(value)) return { rows: [], isComplete: false }
  const rows = value.filter(isRow)
  return { rows, isComplete: rows.length === value.length }
}

/** Writes the rows of an inquiry as the value of a query parameter. */
export function formatQuotaRows (rows: readonly QuotaRequest[]): string {
  return rows.map(([team, share, tokens]) => `${encodeURIComponent(team)},${share},${tokens}`).join(';')
}

function decodeName (text: string): string | undefined {
  try {
    return decodeURIComponent(text)
  } catch {
    // The caller counts the row as unreadable.
    return undefined
  }
}

/** Reads the rows from the raw query of an inquiry; `undefined` without the parameter. */
export function parseQuotaRows (query: string, parameter: string): QuotaRows | undefined {
  const prefix = `${parameter}=`
  const text = query.replace(/^\?/, '').split('&').find(part => part.startsWith(prefix))?.slice(prefix.length)
  if (text === undefined) return undefined
  return readQuotaRows(text.split(';').map(row => {
    const [, name, share, tokens] = ROW_PATTERN.exec(row) ?? []
    return name === undefined ? undefined : [decodeName(name), Number(share), Number(tokens)]
  }))
}
