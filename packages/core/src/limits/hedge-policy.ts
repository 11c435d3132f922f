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
const MIN_SAMPLES = 50
/** Every sample goes into two histograms, which start anew in turn at this interval; the fuller one is read. */
const ROTATION_MS = 10_000
/** Time for which a percentile is reused, because reading it scans the histogram. */
const PERCENTILE_REUSE_MS = 100
/** Histograms count microseconds up to one minute. */
const HISTOGRAM_UNITS_PER_MS = 1_000
const MAX_LATENCY_MS = 60_000
/** Hedges per request in the window. */
const MAX_HEDGE_RATIO = 0.05
/** Headroom from which the whole budget is available, and at which none is. */
const FULL_BUDGET_HEADROOM = 0.3
const NO_BUDGET_HEADROOM = 0.1

const REQUESTS = 0
const HEDGES = 1
const COUNTERS = 2

interface ServiceStatistics {
  readonly window: SlidingWindow
  readonly histograms: readonly [Histogram, Histogram]
  /** Index of the histogram that started earlier. */
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

/** Creates the hedging policy of one instance. */
export function createHedgePolicy (): HedgePolicy {
  const statistics = new Map<string, ServiceStatistics>()

  function rotate (stats: ServiceStatistics, now: number): void {
    if (now < stats.rotateAt) return
    stats.histograms[stats.olderIndex].reset()
    stats.olderIndex = stats.olderIndex === 0 ? 1 : 0
    // After a pause of both intervals the other histogram is out of date as well.
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
    take: (service, headroomShare, now) => {
      const scale = Math.min(1, Math.max(0, (headroomShare - NO_BUDGET_HEADROOM) / (FULL_BUDGET_HEADROOM - NO_BUDGET_HEADROOM)))
      const window = statisticsOf(service, now).window
      if (window.sum(HEDGES, now) + 1 > MAX_HEDGE_RATIO * scale * window.sum(REQUESTS, now)) return false
      window.add(HEDGES, now)
      return true
    }
  }
}
