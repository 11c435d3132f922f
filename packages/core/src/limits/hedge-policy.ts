/**
 * Decides when a second attempt of a repeatable request may start, and bounds the number of such attempts.
 */
import type { Histogram } from 'hdr-histogram-js'
import type { SlidingWindow } from './sliding-window.js'
import { build } from 'hdr-histogram-js'
import { createSlidingWindow } from './sliding-window.js'

/** Hedging by service. Times are monotonic milliseconds. */
export interface HedgePolicy {
  /** Records the latency of a short request that was served, and counts the request for the budget. */
  readonly recordLatency: (service: string, ms: number, now: number) => void
  /** Time after the first attempt at which a second one may start. Undefined until enough latencies are known. */
  readonly delayMs: (service: string, now: number) => number | undefined
  /** Takes one hedge. `headroomShare` is the free share of the slots, 0 to 1. False when none is allowed. */
  readonly take: (service: string, headroomShare: number, now: number) => boolean
}

/** Percentile of the latencies after which an attempt is late. */
const DELAY_PERCENTILE = 95
/** Fewest samples for a percentile. */
const MINIMUM_SAMPLES = 50
/** Every sample goes into two histograms, which start anew in turn at this interval; the fuller one is read. */
const ROTATION_MS = 10_000
/** Time for which a percentile is reused, because reading it scans the histogram. */
const REUSE_MS = 100
/** Histograms count microseconds up to one minute. */
const UNITS_PER_MS = 1_000
const HIGHEST_MS = 60_000
/** Hedges per request in the window. */
const HEDGE_SHARE = 0.05
/** Headroom from which the whole budget is available, and at which none is. */
const FULL_HEADROOM = 0.3
const NO_HEADROOM = 0.1

const REQUESTS = 0
const HEDGES = 1
const COUNTERS = 2

interface Latencies {
  readonly window: SlidingWindow
  readonly histograms: readonly [Histogram, Histogram]
  /** Index of the histogram that started earlier. */
  fuller: 0 | 1
  rotateAt: number
  delayMs: number | undefined
  readAt: number
}

function createHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: false,
    highestTrackableValue: HIGHEST_MS * UNITS_PER_MS,
    numberOfSignificantValueDigits: 2
  })
}

/** Creates the hedging policy of one instance. */
export function createHedgePolicy (): HedgePolicy {
  const services = new Map<string, Latencies>()

  function rotate (row: Latencies, now: number): void {
    if (now < row.rotateAt) return
    row.histograms[row.fuller].reset()
    row.fuller = row.fuller === 0 ? 1 : 0
    // After a pause of both intervals the other histogram is out of date as well.
    if (now >= row.rotateAt + ROTATION_MS) row.histograms[row.fuller].reset()
    row.rotateAt = now + ROTATION_MS
    row.readAt = -Infinity
  }

  function rowOf (service: string, now: number): Latencies {
    let row = services.get(service)
    if (row === undefined) {
      row = {
        window: createSlidingWindow(COUNTERS),
        histograms: [createHistogram(), createHistogram()],
        fuller: 0,
        rotateAt: now + ROTATION_MS,
        delayMs: undefined,
        readAt: -Infinity
      }
      services.set(service, row)
    }
    rotate(row, now)
    return row
  }

  return {
    recordLatency: (service, ms, now) => {
      const row = rowOf(service, now)
      const value = Math.round(Math.min(Math.max(ms, 0), HIGHEST_MS) * UNITS_PER_MS)
      for (const histogram of row.histograms) histogram.recordValue(value)
      row.window.add(REQUESTS, now)
    },
    delayMs: (service, now) => {
      const row = rowOf(service, now)
      const histogram = row.histograms[row.fuller]
      if (histogram.totalCount < MINIMUM_SAMPLES) return undefined
      if (now - row.readAt >= REUSE_MS) {
        row.delayMs = histogram.getValueAtPercentile(DELAY_PERCENTILE) / UNITS_PER_MS
        row.readAt = now
      }
      return row.delayMs
    },
    take: (service, headroomShare, now) => {
      const scale = Math.min(1, Math.max(0, (headroomShare - NO_HEADROOM) / (FULL_HEADROOM - NO_HEADROOM)))
      const window = rowOf(service, now).window
      if (window.sum(HEDGES, now) + 1 > HEDGE_SHARE * scale * window.sum(REQUESTS, now)) return false
      window.add(HEDGES, now)
      return true
    }
  }
}
