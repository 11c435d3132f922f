/**
 * Traces: one span per hop of a request. The W3C `traceparent` header links the spans across processes.
 */
import { ROOT_CONTEXT, SpanKind, TraceFlags, trace } from '@opentelemetry/api'
import type { Attributes, Context, Span } from '@opentelemetry/api'
import { parseTraceParent } from '@opentelemetry/core'
import { resourceFromAttributes } from '@opentelemetry/resources'
import {
  BasicTracerProvider, BatchSpanProcessor, ParentBasedSampler, RandomIdGenerator, TraceIdRatioBasedSampler
} from '@opentelemetry/sdk-trace-base'
import { createSpanExporter } from './span-exporter.js'

/** Kind of a hop: the caller's request, an attempt at an upstream, or a forward to another entry instance. */
export type HopName = 'request' | 'attempt' | 'forward'

/** A hop that has started. */
export interface Hop {
  /** Value of the `traceparent` header to send to the next process. */
  readonly traceparent: string
  /** Ends the hop. Must be called once. */
  readonly end: (attributes: Attributes) => void
}

export interface Traces {
  /** Starts a hop as a child of `traceparent`, or a new trace if that is absent or malformed. */
  readonly startHop: (name: HopName, traceparent: string | undefined) => Hop
  /** Exports the remaining spans and shuts the exporter down. */
  readonly close: () => Promise<void>
}

export interface TracesOptions {
  readonly instanceId: string
  readonly zone: string
  /** Share of new traces that are recorded, 0 to 1. For a trace that a caller started, its sampled flag decides. */
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

/** A well-formed `traceparent` whose sampled flag, the lowest bit, is not set. */
const UNSAMPLED_TRACEPARENT = /^00-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f][02468ace]$/

/** Creates a hop without a span, for a trace that is not sampled. It only passes `traceparent` on, at almost no cost. */
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
    startHop: (name, traceparent) => {
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
