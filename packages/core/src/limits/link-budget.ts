/**
 * Byte budgets on the links between regions. Each instance uses the configured rate divided by the configured number
 * of instances in the sending region, as a token bucket.
 */
import type { LengthClass } from '../configuration.js'
import type { World } from '../tables.js'
import { createConfigurationIndex } from './configuration-index.js'

/** Byte budgets by pair of regions. Times are monotonic milliseconds. */
export interface LinkBudget {
  /** Time until `bytes` may be sent; 0 means that they may be sent now. Takes nothing. */
  readonly waitMs: (fromRegion: string, toRegion: string, bytes: number, length: LengthClass, now: number) => number
  /** Takes bytes that are sent. The balance may become negative; later senders wait until it is repaid. */
  readonly take: (fromRegion: string, toRegion: string, bytes: number, now: number) => void
}

/** Tokens that may gather, as time at the full rate. */
const BURST_MS = 50
/** Least capacity of a bucket in bytes: one chunk of a stream. */
const MIN_BURST_BYTES = 64 * 1024
/** Share of the bucket that short work may go into debt, so that it does not wait behind the chunks of long work. */
const SHORT_DEBT_SHARE = 0.5
/** Bytes per millisecond in one megabit per second. */
const BYTES_PER_MS_PER_MBIT = 125

interface Bucket {
  tokens: number
  refilledAt: number
}

interface Rate {
  readonly bytesPerMs: number
  readonly burstBytes: number
}

/** Creates full buckets for the links of the world's configuration. */
export function createLinkBudget (world: World): LinkBudget {
  const configuration = createConfigurationIndex(world)
  const buckets = new Map<string, Bucket>()

  function rateOf (from: string, to: string): Rate | undefined {
    if (from === to) return undefined
    const mbitPerSecond = configuration.linkMbitPerSecond(from, to)
    if (mbitPerSecond === undefined) return undefined
    const bytesPerMs = mbitPerSecond * BYTES_PER_MS_PER_MBIT / Math.max(1, configuration.instancesInRegion(from))
    return { bytesPerMs, burstBytes: Math.max(MIN_BURST_BYTES, bytesPerMs * BURST_MS) }
  }

  function refill (from: string, to: string, rate: Rate, now: number): Bucket {
    const key = `${from}>${to}`
    let bucket = buckets.get(key)
    if (bucket === undefined) buckets.set(key, bucket = { tokens: rate.burstBytes, refilledAt: now })
    const elapsed = Math.max(0, now - bucket.refilledAt)
    bucket.tokens = Math.min(rate.burstBytes, bucket.tokens + elapsed * rate.bytesPerMs)
    bucket.refilledAt = Math.max(bucket.refilledAt, now)
    return bucket
  }

  return {
    waitMs: (from, to, bytes, length, now) => {
      const rate = rateOf(from, to)
      if (rate === undefined) return 0
      // More than a full bucket is never available at once, so a larger transfer starts with a full one.
      const neededBytes = Math.min(bytes, rate.burstBytes) - (length === 'short' ? rate.burstBytes * SHORT_DEBT_SHARE : 0)
      const missingBytes = neededBytes - refill(from, to, rate, now).tokens
      if (missingBytes <= 0) return 0
      return rate.bytesPerMs === 0 ? Infinity : missingBytes / rate.bytesPerMs
    },
    take: (from, to, bytes, now) => {
      const rate = rateOf(from, to)
      if (rate !== undefined) refill(from, to, rate, now).tokens -= bytes
    }
  }
}
