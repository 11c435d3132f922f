import type { UpstreamStandin } from '../../src/index.js'
import { createHash } from 'node:crypto'
import { Agent, request } from 'undici'
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest'
import { startUpstream } from '../../src/index.js'

describe('upstream stand-in', () => {
  let upstream: UpstreamStandin
  let agent: Agent

  beforeEach(async () => {
    upstream = await startUpstream({ id: 'u1', service: 's', zone: 'z', slots: 2, connections: 4, loadLagMs: 50 })
    agent = new Agent()
  })

  afterEach(async () => {
    await agent.destroy()
    await upstream.close()
  })

  const send = async (headers: Record<string, string> = {}, body = '', signal?: AbortSignal) =>
    await request(`http://${upstream.address}/p`, { method: 'POST', headers, body, dispatcher: agent, signal })

  it('runs a request, echoes its id and returns the length and the digest of the body', async () => {
    const body = 'x'.repeat(100_000)
    const response = await send({ 'x-request-id': 'r1', 'idempotency-key': 'k1', 'x-service-ms': '1' }, body)
    expect(response.headers['x-request-id']).toBe('r1')
    expect(await response.body.json()).toEqual({
      upstream: 'u1', bytes: 100_000, sha256: createHash('sha256').update(body).digest('hex')
    })
    expect(upstream.runs()).toMatchObject([{ requestId: 'r1', key: 'k1', bytes: 100_000, end: 'served' }])
  })

  it('refuses requests above its slots without running them, and reports its load with a lag', async () => {
    const first = [send({ 'x-service-ms': '1000' }), send({ 'x-service-ms': '1000' })]
    await vi.waitFor(async () => {
      const load = await request(`http://${upstream.address}/load`, { dispatcher: agent })
      expect(await load.body.json()).toMatchObject({ active: 2, queued: 0 })
    }, { timeout: 900 })
    const refused = await send()
    expect([refused.statusCode, refused.headers['x-load-shed']]).toEqual([503, '1'])
    await Promise.all(first)
    expect(upstream.runs()).toHaveLength(2)
  })

  it('ends a run on cancellation and at the deadline, and frees the slots', async () => {
    const abort = new AbortController()
    const cancelled = send({ 'x-service-ms': '5000' }, '', abort.signal)
    const late = send({ 'x-service-ms': '5000', 'arbutustray-timeout-ms': '50' })
    await vi.waitFor(() => expect(upstream.runs()).toHaveLength(2))
    abort.abort()
    await expect(cancelled).rejects.toThrow()
    expect((await late).statusCode).toBe(504)
    await vi.waitFor(() => expect(upstream.runs().map(run => run.end).sort()).toEqual(['cancelled', 'deadline']))
    expect((await send({ 'x-service-ms': '1' })).statusCode).toBe(200)
  })

  it('announces a drain in its responses, and refuses requests after the given time', async () => {
    upstream.drain(500)
    const served = await send({ 'x-service-ms': '1' })
    expect([served.statusCode, served.headers['arbutustray-leaving']]).toEqual([200, '1'])
    await new Promise(resolve => setTimeout(resolve, 550))
    const refused = await send()
    expect([refused.statusCode, refused.headers['x-load-shed'], refused.headers['arbutustray-leaving']]).toEqual([503, '1', '1'])
  })

  it.each(['truncate', 'reset'])('runs the request and then breaks the connection with fault %s', async fault => {
    await expect(send({ 'x-fault': fault, 'x-service-ms': '1' }).then(async response => await response.body.text())).rejects.toThrow()
    expect(upstream.runs()).toHaveLength(1)
  })
})
