/**
 * Bundles the log, metrics and traces of one instance.
 */
import { createLog } from './log.js'
import type { Log } from './log.js'
import type { LogLevel } from './log-event.js'
import { createMetrics } from './metrics.js'
import type { Metrics } from './metrics.js'
import { createTraces } from './traces.js'
import type { Traces } from './traces.js'

export interface Telemetry {
  readonly log: Log
  readonly metrics: Metrics
  readonly traces: Traces
  /** Exports the remaining spans and stops the measurement of the event loop's delay. */
  readonly close: () => Promise<void>
}

export interface TelemetryOptions {
  readonly instanceId: string
  readonly zone: string
  readonly logLevel: LogLevel
  /** Share of new traces that are recorded, 0 to 1. For a trace that a caller started, its sampled flag decides. */
  readonly sampleShare: number
  /** Receives log lines and spans; standard output if absent. */
  readonly stream?: NodeJS.WritableStream
}

/** Creates the telemetry of one instance. */
export function createTelemetry (options: TelemetryOptions): Telemetry {
  const log = createLog({ level: options.logLevel, stream: options.stream })
  const metrics = createMetrics()
  const traces = createTraces(options)
  return {
    log,
    metrics,
    traces,
    close: async () => {
      metrics.close()
      await traces.close()
    }
  }
}
