/**
 * Formats the results of the demo: a table by kind of request, the failures and the summary line.
 */
import type { RequestEnd, Sample } from './caller.js'

const COLUMN_TITLES = ['kind', 'sent', 'whole', 'refused', 'lost', 'p50 ms', 'p99 ms']
const KIND_COLUMN_WIDTH = 16
const COLUMN_WIDTH = 9

function quantile (sorted: readonly number[], share: number): string {
  return sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))]?.toFixed(1) ?? '-'
}

function count (samples: readonly Sample[], end: RequestEnd): number {
  return samples.filter(sample => sample.end === end).length
}

function row (kind: string, samples: readonly Sample[]): readonly string[] {
  const times = samples.map(({ ms }) => ms).sort((a, b) => a - b)
  const ends = (['whole', 'refused', 'lost'] as const).map(end => `${count(samples, end)}`)
  return [kind, `${samples.length}`, ...ends, quantile(times, 0.5), quantile(times, 0.99)]
}

/** Formats a table with one row per kind of request. */
export function formatReport (samples: readonly Sample[]): string {
  const kinds = [...new Set(samples.map(({ spec }) => spec.kind))].sort()
  const rows = kinds.map(kind => row(kind, samples.filter(({ spec }) => spec.kind === kind)))
  return [COLUMN_TITLES, ...rows].map(([kind = '', ...cells]) =>
    kind.padEnd(KIND_COLUMN_WIDTH) + cells.map(cell => cell.padStart(COLUMN_WIDTH)).join('')).join('\n')
}

/** Formats the number of refused and lost requests by kind and by the response or error that the caller got. */
export function formatFailures (samples: readonly Sample[]): readonly string[] {
  const counts = new Map<string, number>()
  for (const { end, spec, detail } of samples) {
    if (end === 'whole') continue
    const text = `${end} ${spec.kind}: ${detail}`
    counts.set(text, (counts.get(text) ?? 0) + 1)
  }
  return [...counts].map(([text, times]) => `${times} x ${text}`)
}

/** Formats the summary line: `demo: N requests, N whole, N refused, N lost`. */
export function formatSummary (samples: readonly Sample[]): string {
  const { length } = samples
  return `demo: ${length} requests, ${count(samples, 'whole')} whole, ${count(samples, 'refused')} refused, ${count(samples, 'lost')} lost`
}
