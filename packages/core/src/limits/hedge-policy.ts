/**
 * Decides when a hedge may start, that is, a second attempt of a request whose first attempt is unusually slow, and
 * bounds hedges to a share of the requests. Only requests that may run more than once can be hedged.
 */
import type { Histogram } from 'hdr-histogram-js'
import type { SlidingWindow } from './sliding-window.js'
import { build } from 'hdr-histogram-js'
import { createSlidingWindow } from './sliding-window.js'

/** Hedging delay and hedging budget by service. Times are monotonic milliseconds. */
export interface HedgePolicy {
  /** Records the latency of a short request that was served. Every recorded request adds to the hedging budget. */
  readonly recordLatency: (service: string, ms: number, now: number) => void
  /** Delay after the first attempt at which a hedge may start. Undefined until enough latencies were recorded. */
  readonly delayMs: (service: string, now: number) => number | undefined
  /** Takes one hedge from the budget; false when none is left. `headroomShare` is the free share of the slots, 0 to 1. */
  readonly tryAcquire: (service: string, headroomShare: number, now: number) => boolean
}

/** Percentile of the recent latencies that is the hedging delay. */
const DELAY_PERCENTILE = 95
/** Samples below which no percentile is computed. */
const MIN_SAMPLES = 50
/**
 * Interval at which one of a service's two histograms is reset, alternately. Every sample goes into both, and the one
 * that was reset earlier is read, so it holds the samples of the last one to two intervals.
 */
const ROTATION_MS = 10_000
/** Time for which a percentile is reused, because computing it scans the histogram. */
const PERCENTILE_REUSE_MS = 100
/** Resolution and upper bound of the histograms: microseconds up to one minute. */
const HISTOGRAM_UNITS_PER_MS = 1_000
const MAX_LATENCY_MS = 60_000
/** Largest number of hedges per request in the sliding window. */
const MAX_HEDGE_RATIO = 0.05
/** Free share of the slots at which the whole budget is available, and at which none is. Linear in between. */
const FULL_BUDGET_HEADROOM = 0.3
const NO_BUDGET_HEADROOM = 0.1

/** Counters of the sliding window. */
const REQUESTS = 0
const HEDGES = 1
const COUNTERS = 2

/** Counters, latencies and the cached delay of one service. */
interface ServiceStatistics {
  readonly window: SlidingWindow
  readonly histograms: readonly [Histogram, Histogram]
  /** Index of the histogram that was reset earlier. */
  olderIndex: 0 | 1
  rotateAt: number
  delayMs: number | undefined
  delayReadAt: number
}

function createHistogram (): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: false,
    highestTrackableValue: MAX_LATENCY_MS * HISTOGRAM_UNITS_PER_MS,
    numberOfSignificantValueDigits: 2
  })
}

/** Creates the hedging policy of one entry instance. */
export function createHedgePolicy (): HedgePolicy {
  const statistics = new Map<string, ServiceStatistics>()

  function rotate (stats: ServiceStatistics, now: number): void {
    if (now < stats.rotateAt) return
    stats.histograms[stats.olderIndex].reset()
    stats.olderIndex = stats.olderIndex === 0 ? 1 : 0
    // After two intervals without a call the other histogram is out of date as well.
    if (now >= stats.rotateAt + ROTATION_MS) stats.histograms[stats.olderIndex].reset()
    stats.rotateAt = now + ROTATION_MS
    stats.delayReadAt = -Infinity
  }

  function statisticsOf (service: string, now: number): ServiceStatistics {
    let stats = statistics.get(service)
    if (stats === undefined) {
      stats = {
        window: createSlidingWindow(COUNTERS),
        histograms: [createHistogram(), createHistogram()],
        olderIndex: 0,
        rotateAt: now + ROTATION_MS,
        delayMs: undefined,
        delayReadAt: -Infinity
      }
      statistics.set(service, stats)
    }
    rotate(stats, now)
    return stats
  }

  return {
    recordLatency: (service, ms, now) => {
      const stats = statisticsOf(service, now)
      const value = Math.round(Math.min(Math.max(ms, 0), MAX_LATENCY_MS) * HISTOGRAM_UNITS_PER_MS)
      for (const histogram of stats.histograms) histogram.recordValue(value)
      stats.window.add(REQUESTS, now)
    },
    delayMs: (service, now) => {
      const stats = statisticsOf(service, now)
      const histogram = stats.histograms[stats.olderIndex]
      if (histogram.totalCount < MIN_SAMPLES) return undefined
      if (now - stats.delayReadAt >= PERCENTILE_REUSE_MS) {
        stats.delayMs = histogram.getValueAtPercentile(DELAY_PERCENTILE) / HISTOGRAM_UNITS_PER_MS
        stats.delayReadAt = now
      }
      return stats.delayMs
    },
    tryAcquire: (service, headroomShare, now) => {
      const scale = Math.min(1, Math.max(0, (headroomShare - NO_BUDGET_HEADROOM) / (FULL_BUDGET_HEADROOM - NO_BUDGET_HEADROOM)))
      const window = statisticsOf(service, now).window
      if (window.sum(HEDGES, now) + 1 > MAX_HEDGE_RATIO * scale * window.sum(REQUESTS, now)) return false
      window.add(HEDGES, now)
      return true
    }
  }
}
