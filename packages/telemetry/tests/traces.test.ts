import { PassThrough } from 'node:stream'
import { expect, it } from 'vitest'
import { createTraces } from '../src/index.js'

const TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
const PARENT_SPAN_ID = 'b7ad6b7169203331'

async function run (flags: string, sampleShare: number): Promise<{ readonly traceparent: string, readonly spans: any[] }> {
  const stream = new PassThrough()
  const traces = createTraces({ instanceId: 'i1', zone: 'z1', sampleShare, stream })
  const request = traces.startHop('request', `00-${TRACE_ID}-${PARENT_SPAN_ID}-${flags}`)
  const attempt = traces.startHop('attempt', request.traceparent)
  attempt.end({ target: 'u1' })
  request.end({})
  await traces.close()
  const lines = String(stream.read() ?? '').split('\n').filter(line => line !== '')
  return { traceparent: attempt.traceparent, spans: lines.map(line => JSON.parse(line)) }
}

it('links the spans of a sampled trace to their parents, guarding against hops that can not be joined into one trace', async () => {
  const { traceparent, spans } = await run('01', 0)
  expect(traceparent).toMatch(new RegExp(`^00-${TRACE_ID}-[0-9a-f]{16}-01$`))
  expect(spans).toMatchObject([
    { span: 'attempt', traceId: TRACE_ID, parentSpanId: spans[1].spanId, attributes: { target: 'u1' } },
    { span: 'request', traceId: TRACE_ID, parentSpanId: PARENT_SPAN_ID }
  ])
})

it('exports no span of an unsampled trace but passes its id and flag on, guarding against a trace that breaks at this hop', async () => {
  const { traceparent, spans } = await run('00', 1)
  expect(traceparent).toMatch(new RegExp(`^00-${TRACE_ID}-[0-9a-f]{16}-00$`))
  expect(spans).toEqual([])
})
