/**
 * Traces: one span for each hop of a request, linked by the W3C `traceparent` header.
 */
import { ROOT_CONTEXT, SpanKind, TraceFlags, trace } from '@opentelemetry/api'
import type { Attributes, Context, Span } from '@opentelemetry/api'
import { parseTraceParent } from '@opentelemetry/core'
import { resourceFromAttributes } from '@opentelemetry/resources'
import {
  BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, RandomIdGenerator, TraceIdRatioBasedSampler
} from '@opentelemetry/sdk-trace-base'
import { createSpanExporter } from './span-exporter.js'

/** A hop of a request: the caller's request, an attempt at an upstream, or a forward to another entry instance. */
export type HopName = 'request' | 'attempt' | 'forward'

/** A hop that has begun. */
export interface Hop {
  /** Value of the `traceparent` header for the next process. */
  readonly traceparent: string
  /** Ends the hop. Must be called once. */
  readonly end: (attributes: Attributes) => void
}

export interface Traces {
  /** Begins a hop below the given `traceparent`; a malformed or absent one begins a new trace. */
  readonly begin: (name: HopName, traceparent: string | undefined) => Hop
  /** Exports what is left. */
  readonly close: () => Promise<void>
}

export interface TracesOptions {
  readonly instanceId: string
  readonly zone: string
  /** Share of new traces that are recorded, 0 to 1. A trace that a caller began keeps the caller's choice. */
  readonly sampleShare: number
  /** Receives the spans; standard output if absent. */
  readonly stream?: NodeJS.WritableStream
}

const SPAN_KINDS: Readonly<Record<HopName, SpanKind>> = {
  request: SpanKind.SERVER,
  attempt: SpanKind.CLIENT,
  forward: SpanKind.CLIENT
}

const noop = (): void => {}

const UNSAMPLED_TRACEPARENT = /^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f][02468ace]$/

/** A hop of a trace that is not recorded. It only passes the caller's choice on, which costs nearly nothing. */
function createUnrecordedHop (traceparent: string): Hop {
  return { traceparent, end: noop }
}

/** Creates the traces of one instance. */
export function createTraces (options: TracesOptions): Traces {
  const provider = new BasicTracerProvider({
    resource: resourceFromAttributes({ 'service.instance.id': options.instanceId, 'cloud.availability_zone': options.zone }),
    sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.sampleShare) }),
    spanProcessors: [new BatchSpanProcessor(createSpanExporter(options.stream ?? process.stdout))]
  })
  const tracer = provider.getTracer('arbutustray')
  const idGenerator = new RandomIdGenerator()
  return {
    begin: (name, traceparent) => {
      if (traceparent !== undefined && UNSAMPLED_TRACEPARENT.test(traceparent)) return createUnrecordedHop(traceparent)
      const isNew = traceparent === undefined || parseTraceParent(traceparent) === null
      if (isNew && options.sampleShare === 0) {
        return createUnrecordedHop(`00-${idGenerator.generateTraceId()}-${idGenerator.generateSpanId()}-00`)
      }
      const span = tracer.startSpan(name, { kind: SPAN_KINDS[name] }, parentContext(traceparent))
      return {
        traceparent: formatTraceparent(span),
        end: attributes => {
          if (span.isRecording()) span.setAttributes(attributes)
          span.end()
        }
      }
    },
    close: async () => await provider.shutdown()
  }
}

function parentContext (traceparent: string | undefined): Context {
  const parent = traceparent === undefined ? null : parseTraceParent(traceparent)
  return parent === null ? ROOT_CONTEXT : trace.setSpanContext(ROOT_CONTEXT, { ...parent, isRemote: true })
}

function formatTraceparent (span: Span): string {
  const { traceId, spanId, traceFlags } = span.spanContext()
  return `00-${traceId}-${spanId}-${(traceFlags & TraceFlags.SAMPLED) === TraceFlags.SAMPLED ? '01' : '00'}`
}
