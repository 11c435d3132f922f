/**
 * Memory and processor time of small pieces of work in this process.
 */
import { setTimeout as sleep } from 'node:timers/promises'

/** A cost per unit, from the least squares line through the points. */
export interface Slope {
  readonly base: number
  readonly perUnit: number
}

export interface Point {
  readonly units: number
  readonly cost: number
}

const MICROSECONDS_PER_MS = 1_000

/** Buffers that were collected are counted until a background sweep, and the next collection, have freed them. */
const SWEEP_WAIT_MS = 200

/** Bytes that `create` keeps alive: heap and typed arrays. Needs `node --expose-gc`. */
export async function measureRetainedBytes<T> (create: () => T): Promise<{ readonly value: T, readonly bytes: number }> {
  const before = await usedBytes()
  const value = create()
  return { value, bytes: await usedBytes() - before }
}

async function usedBytes (): Promise<number> {
  if (globalThis.gc === undefined) throw new Error('memory is measured with node --expose-gc')
  for (let pass = 0; pass < 2; pass += 1) {
    globalThis.gc()
    await sleep(SWEEP_WAIT_MS)
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Mean processor time of one call in microseconds, over at least `minimumMs` after a warm-up of a tenth. */
export function measureMicrosecondsPerCall (run: (index: number) => void, minimumMs = 300): number {
  const warmUpEnd = performance.now() + minimumMs / 10
  let index = 0
  while (performance.now() < warmUpEnd) run(index++)
  const start = process.cpuUsage()
  const startedAt = performance.now()
  let calls = 0
  while (performance.now() - startedAt < minimumMs) {
    run(index++)
    calls += 1
  }
  const { user, system } = process.cpuUsage(start)
  return (user + system) / calls
}

/** Fits a line through the points. */
export function fitSlope (points: readonly Point[]): Slope {
  const mean = (read: (point: Point) => number): number => points.reduce((sum, point) => sum + read(point), 0) / points.length
  const units = mean(point => point.units)
  const cost = mean(point => point.cost)
  const covariance = points.reduce((sum, point) => sum + (point.units - units) * (point.cost - cost), 0)
  const variance = points.reduce((sum, point) => sum + (point.units - units) ** 2, 0)
  const perUnit = variance === 0 ? 0 : covariance / variance
  return { base: cost - perUnit * units, perUnit }
}

/** Share of one core that `microseconds` of work each second take, 0 to 1. */
export function coreShare (microseconds: number): number {
  return microseconds / (MICROSECONDS_PER_MS * MICROSECONDS_PER_MS)
}
