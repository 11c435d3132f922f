/**
 * Writes finished spans as JSON lines.
 */
import { ExportResultCode, hrTimeToMilliseconds } from '@opentelemetry/core'
import type { ExportResult } from '@opentelemetry/core'
import type { ReadableSpan, SpanExporter } from '@opentelemetry/sdk-trace-base'

/** Creates an exporter that writes one line for each span. */
export function createSpanExporter (stream: NodeJS.WritableStream): SpanExporter {
  return {
    export (spans: ReadableSpan[], done: (result: ExportResult) => void) {
      for (const span of spans) stream.write(`${JSON.stringify(spanRecord(span))}\n`)
      done({ code: ExportResultCode.SUCCESS })
    },
    shutdown: async () => {}
  }
}

function spanRecord (span: ReadableSpan): object {
  const { traceId, spanId } = span.spanContext()
  return {
    span: span.name,
    traceId,
    spanId,
    parentSpanId: span.parentSpanContext?.spanId,
    startMs: hrTimeToMilliseconds(span.startTime),
    durationMs: hrTimeToMilliseconds(span.duration),
    resource: span.resource.attributes,
    attributes: span.attributes
  }
}
