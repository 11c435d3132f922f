/**
 * Records the metrics of one instance and renders them in the Prometheus text format.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { METRICS } from './metric.js'
import type { Labels, Metric, MetricName, MetricNameOf } from './metric.js'

/** Metrics of one instance. */
export interface Metrics {
  readonly increment: <N extends MetricNameOf<'counter'>>(name: N, labels: Labels<N>) => void
  /** Adds an observation, in the metric's unit, to a histogram. */
  readonly observe: <N extends MetricNameOf<'histogram'>>(name: N, labels: Labels<N>, value: number) => void
  /** Sets a gauge to the given values and removes its values for all other labels. */
  readonly replace: <N extends MetricNameOf<'gauge'>>(name: N, values: ReadonlyArray<readonly [Labels<N>, number]>) => void
  /** Renders all metrics in the Prometheus text format and restarts the measurement of the event loop's delay. */
  readonly text: () => Promise<string>
  readonly contentType: string
  /** Stops the measurement of the event loop's delay. */
  readonly close: () => void
}

const EVENT_LOOP_DELAY_RESOLUTION_MS = 10
const EVENT_LOOP_DELAY_PERCENTILES = [50, 99, 100] as const
const NANOSECONDS_PER_SECOND = 1e9

type Collector = Counter | Gauge | Histogram

const COLLECTOR_FACTORIES: { readonly [T in Metric['type']]: (name: string, metric: Metric, registers: Registry[]) => Collector } = {
  counter: (name, { help, labels }, registers) => new Counter({ name, help, labelNames: labels, registers }),
  gauge: (name, { help, labels }, registers) => new Gauge({ name, help, labelNames: labels, registers }),
  histogram: (name, { help, labels, buckets }, registers) =>
    new Histogram({ name, help, labelNames: labels, registers, buckets: [...buckets ?? []] })
}

export interface MetricsOptions {
  /** Measures the delay of the event loop, at the cost of a timer every 10 ms. */
  readonly measureEventLoopDelay: boolean
}

/** Creates all metrics of the catalogue in a new registry. */
export function createMetrics (options: MetricsOptions = { measureEventLoopDelay: true }): Metrics {
  const registry = new Registry()
  const collectors = new Map<string, Collector>()
  for (const [name, metric] of Object.entries<Metric>(METRICS)) {
    collectors.set(name, COLLECTOR_FACTORIES[metric.type](name, metric, [registry]))
  }
  const collectorOf = (name: MetricName): Collector => collectors.get(name) as Collector
  const eventLoopDelay = options.measureEventLoopDelay ? monitorEventLoopDelay({ resolution: EVENT_LOOP_DELAY_RESOLUTION_MS }) : undefined
  eventLoopDelay?.enable()

  const replace: Metrics['replace'] = (name, values) => {
    const gauge = collectorOf(name) as Gauge
    gauge.reset()
    for (const [labels, value] of values) gauge.set(labels, value)
  }

  return {
    increment: (name, labels) => (collectorOf(name) as Counter).inc(labels),
    observe: (name, labels, value) => (collectorOf(name) as Histogram).observe(labels, value),
    replace,
    text: async () => {
      if (eventLoopDelay === undefined) return await registry.metrics()
      // The histogram records the whole interval between two timer ticks; only the part above the resolution is delay.
      const delaySeconds = (percentile: number): number =>
        Math.max(0, eventLoopDelay.percentile(percentile) / NANOSECONDS_PER_SECOND - EVENT_LOOP_DELAY_RESOLUTION_MS / 1_000)
      replace('arbutustray_event_loop_delay_seconds', EVENT_LOOP_DELAY_PERCENTILES.map(percentile =>
        [{ quantile: String(percentile / 100) }, delaySeconds(percentile)]))
      eventLoopDelay.reset()
      return await registry.metrics()
    },
    contentType: registry.contentType,
    close: () => eventLoopDelay?.disable()
  }
}
