/**
 * Form in which instances send their demand for upstreams that state a request limit. An instance of another build, or one
 * in trouble, may send anything, so each row is checked.
 */
import type { UpstreamDemand } from '@arbutustray/steering'

/** Decimal places of a rate; more only lengthen the message. */
const DECIMALS = 2

export function encodeDemand ([upstreamId, perSecond]: UpstreamDemand): UpstreamDemand {
  return [upstreamId, Number(perSecond.toFixed(DECIMALS))]
}

function isDemand (row: unknown): row is UpstreamDemand {
  return Array.isArray(row) && typeof row[0] === 'string' && typeof row[1] === 'number' && row[1] >= 0
}

/** The readable rows of a reply; an instance of an earlier build sends none. */
export function readDemands (rows: unknown): readonly UpstreamDemand[] {
  return Array.isArray(rows) ? rows.filter(isDemand) : []
}
