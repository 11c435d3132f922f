/**
 * What a replay measures.
 */
import type { Histogram } from 'hdr-histogram-js'
import type { TracedRequest } from './trace.js'
import { build } from 'hdr-histogram-js'

/** Microseconds in a millisecond; histograms hold whole microseconds. */
const MICROSECONDS = 1_000

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
}

export interface Measures {
  readonly recordLatency: (request: TracedRequest, ms: number) => void
  /** Time from the client's send until an upstream started the work. */
  readonly recordWait: (request: TracedRequest, ms: number) => void
  readonly recordRefusal: (reason: string) => void
  readonly recordLost: () => void
  readonly recordSample: (zone: string, load: number) => void
  readonly recordRegionLoad: (load: number) => void
  readonly latency: (kind: string) => Percentiles
  readonly wait: (kind: string) => Percentiles
  readonly refusals: () => Readonly<Record<string, number>>
  readonly lost: () => number
  /** Lowest and mean share of free slots by zone. */
  readonly headroom: () => Readonly<Record<string, { readonly min: number, readonly mean: number }>>
  readonly maxRegionLoad: () => number
}

function percentiles (histogram: Histogram | undefined): Percentiles {
  if (histogram === undefined) return { count: 0, p50: 0, p99: 0, p999: 0 }
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS
  return { count: histogram.totalCount, p50: at(50), p99: at(99), p999: at(99.9) }
}

function record (histograms: Map<string, Histogram>, kind: string, ms: number): void {
  let histogram = histograms.get(kind)
  if (histogram === undefined) {
    histogram = build({ bitBucketSize: 64, numberOfSignificantValueDigits: 3 })
    histograms.set(kind, histogram)
  }
  histogram.recordValue(Math.round(ms * MICROSECONDS))
}

/** Creates empty measures. `short` collects all short kinds. */
export function createMeasures (): Measures {
  const latencies = new Map<string, Histogram>()
  const waits = new Map<string, Histogram>()
  const refusals: Record<string, number> = {}
  const samples = new Map<string, { min: number, sum: number, count: number }>()
  let lost = 0
  let maxRegionLoad = 0

  function recordBoth (histograms: Map<string, Histogram>, request: TracedRequest, ms: number): void {
    record(histograms, request.kind.name, ms)
    if (request.kind.length === 'short') record(histograms, 'short', ms)
  }

  return {
    recordLatency: (request, ms) => recordBoth(latencies, request, ms),
    recordWait: (request, ms) => recordBoth(waits, request, ms),
    recordRefusal: reason => { refusals[reason] = (refusals[reason] ?? 0) + 1 },
    recordLost: () => { lost += 1 },
    recordSample: (zone, load) => {
      const sample = samples.get(zone) ?? { min: 1, sum: 0, count: 0 }
      samples.set(zone, { min: Math.min(sample.min, 1 - load), sum: sample.sum + 1 - load, count: sample.count + 1 })
    },
    recordRegionLoad: load => { maxRegionLoad = Math.max(maxRegionLoad, load) },
    latency: kind => percentiles(latencies.get(kind)),
    wait: kind => percentiles(waits.get(kind)),
    refusals: () => refusals,
    lost: () => lost,
    headroom: () => Object.fromEntries([...samples].map(([zone, { min, sum, count }]) => [zone, { min, mean: sum / count }])),
    maxRegionLoad: () => maxRegionLoad
  }
}
