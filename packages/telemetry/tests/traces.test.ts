import { PassThrough } from 'node:stream'
import { expect, it } from 'vitest'
import { createTraces } from '../src/index.js'

const TRACE = '0af7651916cd43dd8448eb211c80319c'
const PARENT = 'b7ad6b7169203331'

async function run (flags: string, sampleShare: number): Promise<{ readonly traceparent: string, readonly spans: any[] }> {
  const stream = new PassThrough()
  const traces = createTraces({ instanceId: 'i1', zone: 'z1', sampleShare, stream })
  const hop = traces.begin('request', `00-${TRACE}-${PARENT}-${flags}`)
  const next = traces.begin('attempt', hop.traceparent)
  next.end({ target: 'u1' })
  hop.end({})
  await traces.close()
  const lines = String(stream.read() ?? '').split('\n').filter(line => line !== '')
  return { traceparent: next.traceparent, spans: lines.map(line => JSON.parse(line)) }
}

it('links the spans of a sampled trace, guarding against hops that can not be put together', async () => {
  const { traceparent, spans } = await run('01', 0)
  expect(traceparent).toMatch(new RegExp(`^00-${TRACE}-[0-9a-f]{16}-01$`))
  expect(spans).toMatchObject([
    { span: 'attempt', traceId: TRACE, parentSpanId: spans[1].spanId, attributes: { target: 'u1' } },
    { span: 'request', traceId: TRACE, parentSpanId: PARENT }
  ])
})

it('exports nothing of a trace that the caller does not sample but passes it on, guarding against a lost trace id', async () => {
  const { traceparent, spans } = await run('00', 1)
  expect(traceparent).toMatch(new RegExp(`^00-${TRACE}-[0-9a-f]{16}-00$`))
  expect(spans).toEqual([])
})
