/**
 * Caller of the demo: looks up an entry instance, sends a request to it and verifies the response.
 */
import type { LookupResult } from '@arbutustray/core'
import type { EntryInstance } from './topology.js'
import { createHash } from 'node:crypto'
import { Agent, request } from 'undici'

/**
 * How a request ended. `whole`: the caller got the upstream's complete response to this request. `refused`: the caller
 * was told that the request was not run. `lost`: anything else.
 */
export type RequestEnd = 'whole' | 'refused' | 'lost'

/** A request for a caller to send. */
export interface RequestSpec {
  readonly kind: string
  readonly service: string
  readonly method: 'GET' | 'POST' | 'PUT'
  /** Path within the service. Unique, so that the runs of the request can be found in the run logs. */
  readonly path: string
  readonly body?: Buffer
  /** Idempotency key; requests with the same path share one. */
  readonly key?: string
  /** Service time at the upstream stand-in, instead of a random one. */
  readonly serviceMs?: number
  /** Fault that the upstream stand-in injects, as in `x-fault`. */
  readonly fault?: string
  /** Timeout that the caller sends with the request. */
  readonly timeoutMs?: number
}

/** Result of a request; `ms` is its duration as seen by the caller. */
export interface Sample {
  readonly spec: RequestSpec
  readonly end: RequestEnd
  readonly detail: string
  readonly ms: number
}

/** A caller in one zone. */
export interface Caller {
  readonly zone: string
  readonly fetchKeys: (service: string, count: number) => Promise<readonly string[]>
  readonly send: (spec: RequestSpec) => Promise<Sample>
}

const ANSWER_TIMEOUT_MS = 20_000
const agent = new Agent({ connections: 256 })

/** Closes the connections that all callers share. */
export async function closeCallers (): Promise<void> {
  await agent.close()
}

/** Sends a request to a URL and verifies the response. Rejects if the connection fails or times out. */
export async function sendAndVerify (url: string, spec: RequestSpec, requestId: string): Promise<{ readonly end: RequestEnd, readonly detail: string }> {
  const response = await request(url, {
    method: spec.method,
    headers: {
      'x-request-id': requestId,
      ...(spec.key === undefined ? {} : { 'idempotency-key': spec.key }),
      ...(spec.fault === undefined ? {} : { 'x-fault': spec.fault }),
      ...(spec.timeoutMs === undefined ? {} : { 'arbutustray-timeout-ms': `${spec.timeoutMs}` }),
      ...(spec.serviceMs === undefined ? {} : { 'x-service-ms': `${spec.serviceMs}` })
    },
    body: spec.body ?? null,
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
  const body = spec.body ?? Buffer.alloc(0)
  const whole = read.bytes === body.length && read.sha256 === createHash('sha256').update(body).digest('hex')
  return { end: whole ? 'whole' : 'lost', detail: whole ? detail : `${detail}: body differs` }
}

/** Creates a caller in an entry instance's zone; it sends its look-ups to that instance and caches the results. */
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

  async function send (spec: RequestSpec): Promise<Sample> {
    const startedAt = performance.now()
    requestCount += 1
    const requestId = `${instance.id}-${requestCount}`
    const result = await lookup(spec.service)
      .then(async address => await sendAndVerify(`http://${address}/v1/services/${spec.service}${spec.path}`, spec, requestId))
      .catch(error => ({ end: 'lost' as const, detail: String(error) }))
    return { spec, ...result, ms: performance.now() - startedAt }
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
