/**
 * Collects the measurements of one replay: latencies, waits, refusals, lost requests and load.
 */
import type { Histogram } from 'hdr-histogram-js'
import type { TracedRequest } from './trace.js'
import { build } from 'hdr-histogram-js'

/** Histograms hold whole microseconds. */
const MICROSECONDS_PER_MS = 1_000

/** Percentiles in milliseconds. */
export interface Percentiles {
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly p999: number
}

export interface Measurements {
  readonly recordLatency: (request: TracedRequest, ms: number) => void
  /** Time from the client's send until an upstream started the work. */
  readonly recordWait: (request: TracedRequest, ms: number) => void
  readonly recordRefusal: (reason: string) => void
  /** Counts a request that ended without an answer or a refusal. */
  readonly recordLost: () => void
  /** Records the load of a zone as a share of its slots. */
  readonly recordSample: (zone: string, load: number) => void
  /** Records the load of a region as a share of its slots, shed work included. */
  readonly recordRegionLoad: (load: number) => void
  readonly latency: (className: string) => Percentiles
  readonly wait: (className: string) => Percentiles
  readonly refusals: () => Readonly<Record<string, number>>
  readonly lost: () => number
  /** Lowest and mean share of free slots by zone. */
  readonly headroom: () => Readonly<Record<string, { readonly min: number, readonly mean: number }>>
  readonly maxRegionLoad: () => number
}

function percentiles (histogram: Histogram | undefined): Percentiles {
  if (histogram === undefined) return { count: 0, p50: 0, p99: 0, p999: 0 }
  const at = (percentile: number): number => histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS
  return { count: histogram.totalCount, p50: at(50), p99: at(99), p999: at(99.9) }
}

function recordInHistogram (histograms: Map<string, Histogram>, className: string, ms: number): void {
  let histogram = histograms.get(className)
  if (histogram === undefined) {
    histogram = build({ bitBucketSize: 64, numberOfSignificantValueDigits: 3 })
    histograms.set(className, histogram)
  }
  histogram.recordValue(Math.round(ms * MICROSECONDS_PER_MS))
}

/** Creates empty measurements. The class name `short` stands for all short requests together. */
export function createMeasurements (): Measurements {
  const latencies = new Map<string, Histogram>()
  const waits = new Map<string, Histogram>()
  const refusals: Record<string, number> = {}
  const headroomByZone = new Map<string, { min: number, sum: number, count: number }>()
  let lost = 0
  let maxRegionLoad = 0

  function recordByClass (histograms: Map<string, Histogram>, request: TracedRequest, ms: number): void {
    recordInHistogram(histograms, request.requestClass.name, ms)
    if (request.requestClass.length === 'short') recordInHistogram(histograms, 'short', ms)
  }

  return {
    recordLatency: (request, ms) => recordByClass(latencies, request, ms),
    recordWait: (request, ms) => recordByClass(waits, request, ms),
    recordRefusal: reason => { refusals[reason] = (refusals[reason] ?? 0) + 1 },
    recordLost: () => { lost += 1 },
    recordSample: (zone, load) => {
      const sample = headroomByZone.get(zone) ?? { min: 1, sum: 0, count: 0 }
      headroomByZone.set(zone, { min: Math.min(sample.min, 1 - load), sum: sample.sum + 1 - load, count: sample.count + 1 })
    },
    recordRegionLoad: load => { maxRegionLoad = Math.max(maxRegionLoad, load) },
    latency: className => percentiles(latencies.get(className)),
    wait: className => percentiles(waits.get(className)),
    refusals: () => refusals,
    lost: () => lost,
    headroom: () => Object.fromEntries([...headroomByZone].map(([zone, { min, sum, count }]) => [zone, { min, mean: sum / count }])),
    maxRegionLoad: () => maxRegionLoad
  }
}
