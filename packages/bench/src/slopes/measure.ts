/**
 * Measures memory and CPU time of functions in this process, and fits costs against size.
 */
import { setTimeout as sleep } from 'node:timers/promises'

/** Least-squares line through measured points: `base` plus `perUnit` for each unit. */
export interface Slope {
  readonly base: number
  readonly perUnit: number
}

/** A cost measured at a size of `units`. */
export interface Point {
  readonly units: number
  readonly cost: number
}

const MICROSECONDS_PER_MS = 1_000

/** Collected buffers stay in the memory figures until a background sweep and the next collection have freed them. */
const SWEEP_WAIT_MS = 200

/** Measures the heap and typed-array bytes that the result of `create` retains. Needs `node --expose-gc`. */
export async function measureRetainedBytes<T> (create: () => T): Promise<{ readonly value: T, readonly bytes: number }> {
  const before = await usedBytes()
  const value = create()
  return { value, bytes: await usedBytes() - before }
}

async function usedBytes (): Promise<number> {
  if (globalThis.gc === undefined) throw new Error('measuring memory requires node --expose-gc')
  for (let pass = 0; pass < 2; pass += 1) {
    globalThis.gc()
    await sleep(SWEEP_WAIT_MS)
  }
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Measures the mean CPU time of a call in microseconds over at least `minimumMs`, after a warm-up of a tenth of that. */
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

/** Fits a least-squares line through the points. */
export function fitSlope (points: readonly Point[]): Slope {
  const mean = (read: (point: Point) => number): number => points.reduce((sum, point) => sum + read(point), 0) / points.length
  const units = mean(point => point.units)
  const cost = mean(point => point.cost)
  const covariance = points.reduce((sum, point) => sum + (point.units - units) * (point.cost - cost), 0)
  const variance = points.reduce((sum, point) => sum + (point.units - units) ** 2, 0)
  const perUnit = variance === 0 ? 0 : covariance / variance
  return { base: cost - perUnit * units, perUnit }
}

/** Returns the share of one core, 0 to 1, that `microseconds` of work per second use. */
export function coreShare (microseconds: number): number {
  return microseconds / (MICROSECONDS_PER_MS * MICROSECONDS_PER_MS)
}
