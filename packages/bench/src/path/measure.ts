/**
 * Compares throughput and latency of an entry instance with those of a bare pass-through proxy, in alternating rounds.
 * Also measures look-ups over HTTP with a full block table.
 */
import type { ServerProcess } from './child.js'
import { startServerProcess } from './child.js'
import type { LoadResult } from './load.js'
import { runLoad } from './load.js'

export interface PathOptions {
  /** Rounds for each server. The figures are medians over the rounds. */
  readonly rounds: number
  readonly roundMs: number
  readonly concurrency: number
  readonly blocks: number
}

export interface PathFigures {
  /** Throughput of the entry instance divided by that of the pass-through. Target: at least 0.7. */
  readonly passThroughRatio: number
  /** Added median latency of requests that are sent one after the other, in milliseconds. Target: at most 0.3. */
  readonly addedP50Ms: number
  /** Look-ups over HTTP per second of CPU time of the entry instance. Target: at least 10,000. */
  readonly lookupsPerSecond: number
  /** Look-ups over HTTP per second of wall time. The load generator can be the limit. */
  readonly lookupsPerWallSecond: number
  /** Bytes of the block table per client block. Limit: 156, which a budget of 128 MB allows. */
  readonly bytesPerClientBlock: number
  readonly blocks: number
  readonly requestsPerSecond: { readonly entry: number, readonly passThrough: number }
  readonly p50Ms: { readonly entry: number, readonly passThrough: number }
  readonly failed: number
}

const SERVICE_PATH = '/v1/services/s/cards/1'
const WARM_UP_MS = 1_000
const ADDRESSES_PER_BLOCK = 16

/** Look-ups step through the blocks by this stride, so that successive ones don't hit the same cache lines. */
const BLOCK_STRIDE = 7_919

function median (values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2
}

function throughput (result: LoadResult): number {
  return result.completed / result.seconds
}

function lookupPath (blocks: number): (index: number) => string {
  return index => {
    const start = ((index * BLOCK_STRIDE) % blocks) * ADDRESSES_PER_BLOCK
    const client = `${10 + (start >>> 24)}.${(start >>> 16) & 255}.${(start >>> 8) & 255}.${(start & 255) + 3}`
    return `/v1/lookup?service=s&client=${client}`
  }
}

/** Starts the servers, runs all rounds and stops the servers. */
export async function measurePath (options: PathOptions, progress: (text: string) => void): Promise<PathFigures> {
  const children: ServerProcess[] = []
  const start = async (module: string, ...args: string[]): Promise<ServerProcess> => {
    const child = await startServerProcess(module, args)
    children.push(child)
    return child
  }
  try {
    const upstream = await start('./upstream-process.js')
    const passThrough = await start('./pass-through-process.js', upstream.address)
    const entry = await start('./entry-process.js', upstream.address, String(options.blocks))
    return await compareServers(options, entry, passThrough, progress)
  } finally {
    await Promise.all(children.map(async child => await child.stop()))
  }
}

async function compareServers (
  options: PathOptions, entry: ServerProcess, passThrough: ServerProcess, progress: (text: string) => void
): Promise<PathFigures> {
  const { roundMs, concurrency, rounds, blocks } = options
  const servers = { passThrough, entry }
  const loadServer = async (server: ServerProcess, connections: number, durationMs: number): Promise<LoadResult> =>
    await runLoad({ address: server.address, path: () => SERVICE_PATH, concurrency: connections, durationMs })
  const throughputs = { entry: [] as number[], passThrough: [] as number[] }
  const medianLatencies = { entry: [] as number[], passThrough: [] as number[] }
  let failed = 0
  for (const server of Object.values(servers)) await loadServer(server, concurrency, WARM_UP_MS)
  for (let round = 0; round < rounds; round += 1) {
    for (const name of ['passThrough', 'entry'] as const) {
      const concurrent = await loadServer(servers[name], concurrency, roundMs)
      const sequential = await loadServer(servers[name], 1, roundMs / 2)
      failed += concurrent.failed + sequential.failed
      throughputs[name].push(throughput(concurrent))
      medianLatencies[name].push(sequential.p50Ms)
      progress(`round ${round + 1} ${name}: ${throughput(concurrent).toFixed(0)} requests/s, p50 ${sequential.p50Ms.toFixed(3)} ms`)
    }
  }
  const cpuBefore = await entry.cpuSeconds()
  const lookups = await runLoad({ address: entry.address, path: lookupPath(Math.max(1, blocks)), concurrency, durationMs: roundMs })
  const cpu = await entry.cpuSeconds() - cpuBefore
  const requestsPerSecond = { entry: median(throughputs.entry), passThrough: median(throughputs.passThrough) }
  const p50Ms = { entry: median(medianLatencies.entry), passThrough: median(medianLatencies.passThrough) }
  return {
    passThroughRatio: requestsPerSecond.entry / requestsPerSecond.passThrough,
    addedP50Ms: p50Ms.entry - p50Ms.passThrough,
    lookupsPerSecond: lookups.completed / cpu,
    lookupsPerWallSecond: throughput(lookups),
    bytesPerClientBlock: entry.bytesPerClientBlock ?? 0,
    blocks,
    requestsPerSecond,
    p50Ms,
    failed: failed + lookups.failed
  }
}
