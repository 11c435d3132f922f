/**
 * A caller of the demo: looks up an entry instance, sends a request and judges the answer.
 */
import type { LookupResult } from '@arbutustray/core'
import type { EntryInstance } from './topology.js'
import { createHash } from 'node:crypto'
import { Agent, request } from 'undici'

/** `whole`: the upstream's complete answer to this request. `refused`: not run. `lost`: anything else. */
export type RequestEnd = 'whole' | 'refused' | 'lost'

/** A request of the demo. */
export interface Order {
  readonly kind: string
  readonly service: string
  readonly method: 'GET' | 'POST' | 'PUT'
  /** Path below the service. It is unique, so that the run logs show what became of the request. */
  readonly path: string
  readonly body?: Buffer
  /** The request is sent with an idempotency key; requests with the same path share one. */
  readonly key?: string
  /** Service time of the stand-in, instead of a random one. */
  readonly serviceMs?: number
  /** Fault of the stand-in. */
  readonly fault?: string
  /** Time that the caller gives the request. */
  readonly timeoutMs?: number
}

/** What became of a request. */
export interface Sample {
  readonly order: Order
  readonly end: RequestEnd
  readonly detail: string
  readonly ms: number
}

/** A caller in one zone. */
export interface Caller {
  readonly zone: string
  readonly fetchKeys: (service: string, count: number) => Promise<readonly string[]>
  readonly send: (order: Order) => Promise<Sample>
}

const ANSWER_TIMEOUT_MS = 20_000
const agent = new Agent({ connections: 256 })

/** Closes the callers' connections. */
export async function closeCallers (): Promise<void> {
  await agent.close()
}

/** Sends a request to a URL and judges the answer. Rejects if the exchange breaks. */
export async function sendAndVerify (url: string, order: Order, requestId: string): Promise<{ readonly end: RequestEnd, readonly detail: string }> {
  const response = await request(url, {
    method: order.method,
    headers: {
      'x-request-id': requestId,
      ...(order.key === undefined ? {} : { 'idempotency-key': order.key }),
      ...(order.fault === undefined ? {} : { 'x-fault': order.fault }),
      ...(order.timeoutMs === undefined ? {} : { 'arbutustray-timeout-ms': `${order.timeoutMs}` }),
      ...(order.serviceMs === undefined ? {} : { 'x-service-ms': `${order.serviceMs}` })
    },
    body: order.body ?? null,
    dispatcher: agent,
    signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS)
  })
  const text = await response.body.text()
  const { 'arbutustray-outcome': outcome, 'arbutustray-reason': reason, 'x-request-id': echoed } = response.headers
  const detail = `${response.statusCode} ${String(outcome)} ${String(reason)}`
  if (echoed !== requestId) return { end: 'lost', detail: `${detail}: answer to ${String(echoed)}` }
  if (outcome === 'not-run') return { end: 'refused', detail }
  if (outcome !== 'served' || response.statusCode !== 200) return { end: 'lost', detail }
  const read = JSON.parse(text)
  const body = order.body ?? Buffer.alloc(0)
  const whole = read.bytes === body.length && read.sha256 === createHash('sha256').update(body).digest('hex')
  return { end: whole ? 'whole' : 'lost', detail: whole ? detail : `${detail}: body differs` }
}

/** Creates a caller that knows one entry instance of its zone. */
export function createCaller (instance: EntryInstance): Caller {
  const cachedLookups = new Map<string, { readonly answer: LookupResult, readonly expiresAt: number }>()
  let requestCount = 0

  async function lookup (service: string): Promise<string> {
    const cached = cachedLookups.get(service)
    if (cached !== undefined && performance.now() < cached.expiresAt) return cached.answer.instances[0]?.address ?? ''
    const response = await request(`http://${instance.caller}/v1/lookup?service=${service}`, { dispatcher: agent })
    const answer = await response.body.json() as LookupResult
    const preferred = answer.instances?.[0]
    if (preferred === undefined) throw new Error(`look-up of ${service} at ${instance.id}: ${JSON.stringify(answer)}`)
    cachedLookups.set(service, { answer, expiresAt: performance.now() + answer.ttlMs })
    return preferred.address
  }

  async function send (order: Order): Promise<Sample> {
    const startedAt = performance.now()
    requestCount += 1
    const requestId = `${instance.id}-${requestCount}`
    const result = await lookup(order.service)
      .then(async address => await sendAndVerify(`http://${address}/v1/services/${order.service}${order.path}`, order, requestId))
      .catch(error => ({ end: 'lost' as const, detail: String(error) }))
    return { order, ...result, ms: performance.now() - startedAt }
  }

  return {
    zone: instance.zone,
    send,
    fetchKeys: async (service, count) => {
      const response = await request(`http://${instance.caller}/v1/keys`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ service, count }),
        dispatcher: agent
      })
      const text = await response.body.text()
      if (response.statusCode !== 200) throw new Error(`keys at ${instance.id}: ${response.statusCode} ${text}`)
      return JSON.parse(text).keys
    }
  }
}
