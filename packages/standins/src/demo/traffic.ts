/**
 * Traffic of the demo: balance checks, purchases with idempotency keys, purchases that are sent twice, and uploads.
 * Callers in every zone send them at a constant rate.
 */
import type { Caller, RequestSpec, Sample } from './caller.js'
import { setTimeout as sleep } from 'node:timers/promises'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

/** Number of requests of each kind that one caller sends; each `repeat` is sent twice. */
const REQUESTS_PER_CALLER = { check: 60, purchase: 22, repeat: 4, upload: 10 } as const
const UPLOAD_BYTES = 1_000_000
const SEED = 7

/** Returns a function that gives each upload a different body: a window into one block of random bytes. */
function createUploadBodies (): (index: number) => Buffer {
  const generator = xoroshiro128plus(SEED)
  const block = Buffer.alloc(2 * UPLOAD_BYTES)
  for (let offset = 0; offset < block.length; offset += 4) {
    block.writeInt32LE(unsafeUniformIntDistribution(-0x80000000, 0x7fffffff, generator), offset)
  }
  return index => block.subarray(index * 1_009, index * 1_009 + UPLOAD_BYTES + index)
}

const uploadBody = createUploadBodies()

/** Creates an upload with a long service time, so that it is in flight when its entry instance is told to stop. */
export function createLongUpload (zone: string, index: number, serviceMs: number): RequestSpec {
  const path = `/ledgers/${zone}/long-${index}`
  return { kind: 'upload at stop', service: 'ledger', method: 'PUT', path, body: uploadBody(index), serviceMs }
}

/** Creates all requests of one caller, shuffled. */
async function createRequestSpecs (caller: Caller, callerIndex: number): Promise<readonly RequestSpec[]> {
  const keys = await caller.fetchKeys('token', REQUESTS_PER_CALLER.purchase + REQUESTS_PER_CALLER.repeat)
  const range = (count: number): readonly number[] => Array.from({ length: count }, (_, index) => index)
  const purchase = (kind: string, index: number, key: string | undefined): RequestSpec => ({
    kind, service: 'token', method: 'POST', path: `/purchases/${caller.zone}/${index}`, body: Buffer.from(`{"n":${index}}`), ...(key === undefined ? {} : { key })
  })
  const specs: RequestSpec[] = [
    ...range(REQUESTS_PER_CALLER.check).map((index): RequestSpec =>
      ({ kind: 'check', service: 'token', method: 'GET', path: `/balances/${caller.zone}/${index}` })),
    ...range(REQUESTS_PER_CALLER.purchase).map(index => purchase('purchase', index, keys[index])),
    // Sent twice with the same key, as by a client that did not receive the first response.
    ...range(REQUESTS_PER_CALLER.repeat).flatMap(index => {
      const number = REQUESTS_PER_CALLER.purchase + index
      return [purchase('repeat', number, keys[number]), purchase('repeat', number, keys[number])]
    }),
    ...range(REQUESTS_PER_CALLER.upload).map((index): RequestSpec => ({
      kind: 'upload', service: 'ledger', method: 'PUT', path: `/ledgers/${caller.zone}/${index}`, body: uploadBody(callerIndex * REQUESTS_PER_CALLER.upload + index)
    }))
  ]
  const generator = xoroshiro128plus(SEED + callerIndex)
  for (let last = specs.length - 1; last > 0; last -= 1) {
    const other = unsafeUniformIntDistribution(0, last, generator)
    const [a, b] = [specs[last], specs[other]]
    if (a !== undefined && b !== undefined) [specs[last], specs[other]] = [b, a]
  }
  return specs
}

/** Sends the requests of all callers, spread evenly over `durationMs` without waiting for responses (open loop). */
export async function sendTraffic (callers: readonly Caller[], durationMs: number): Promise<readonly Sample[]> {
  const specsByCaller = await Promise.all(callers.map(async (caller, index) => ({ caller, specs: await createRequestSpecs(caller, index) })))
  const samples = specsByCaller.flatMap(({ caller, specs }) => specs.map(async (spec, index) => {
    await sleep(durationMs * index / specs.length)
    return await caller.send(spec)
  }))
  return await Promise.all(samples)
}
