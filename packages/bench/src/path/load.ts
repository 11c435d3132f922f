/**
 * Closed-loop load generator: sends GET requests over a fixed number of connections, one at a time on each.
 */
import { build } from 'hdr-histogram-js'
import { Pool } from 'undici'

/** Result of one load run. */
export interface LoadResult {
  readonly completed: number
  readonly failed: number
  readonly seconds: number
  /** Median latency in milliseconds. */
  readonly p50Ms: number
}

export interface LoadOptions {
  readonly address: string
  /** Path of the n-th request. */
  readonly path: (index: number) => string
  readonly concurrency: number
  readonly durationMs: number
}

const MAX_LATENCY_MICROSECONDS = 60_000_000
const MICROSECONDS_PER_MS = 1_000
const MS_PER_SECOND = 1_000

/** Sends requests for `durationMs` and measures throughput and latency. */
export async function runLoad (options: LoadOptions): Promise<LoadResult> {
  const { address, path, concurrency, durationMs } = options
  const pool = new Pool(`http://${address}`, { connections: concurrency })
  const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_LATENCY_MICROSECONDS, numberOfSignificantValueDigits: 3 })
  const startedAt = performance.now()
  const endAt = startedAt + durationMs
  let index = 0
  let completed = 0
  let failed = 0

  async function worker (): Promise<void> {
    while (performance.now() < endAt) {
      const sentAt = performance.now()
      const ok = await send(pool, path(index++))
      if (!ok) failed += 1
      else {
        completed += 1
        histogram.recordValue(Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MS))
      }
    }
  }

  await Promise.all(Array.from({ length: concurrency }, worker))
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND
  await pool.close()
  return { completed, failed, seconds, p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS }
}

/** Sends one request and discards the body. `dispatch` costs the generator less CPU time than `request`. */
async function send (pool: Pool, path: string): Promise<boolean> {
  return await new Promise(resolve => {
    let status = 0
    pool.dispatch({ path, method: 'GET', headers: { 'x-request-id': 'bench' } }, {
      onRequestStart: () => {},
      onResponseStart: (_controller, value) => { status = value },
      onResponseData: () => {},
      onResponseEnd: () => resolve(status === 200),
      onResponseError: () => resolve(false)
    })
  })
}
