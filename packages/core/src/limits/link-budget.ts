/**
 * Limits the bytes that are sent over the links between regions, with one token bucket per link and direction. The
 * rate of an instance is the configured rate of the link divided by the configured number of instances in the sending
 * region, so all instances together stay within the link's rate without coordination.
 */
import type { LengthClass } from '../configuration.js'
import type { World } from '../tables.js'
import { createConfigurationIndex } from './configuration-index.js'

/** Byte budgets by sending and receiving region. Times are monotonic milliseconds. */
export interface LinkBudget {
  /**
   * Time until `bytes` may be sent; 0 means now, also within a region and where no link is configured. Consumes nothing.
   * `lengthClass` is the expected duration of the request that the bytes belong to, not a size.
   */
  readonly waitMs: (fromRegion: string, toRegion: string, bytes: number, lengthClass: LengthClass, now: number) => number
  /** Consumes the tokens of bytes that are sent. The balance may become negative; later sends wait for its refill. */
  readonly consume: (fromRegion: string, toRegion: string, bytes: number, now: number) => void
}

/** Capacity of a bucket, as time at the full rate. */
const BURST_MS = 50
/** Lower bound of the capacity: one chunk of a stream. */
const MIN_BURST_BYTES = 64 * 1024
/** Share of the capacity that short work may overdraw, so that it does not wait behind the chunks of long work. */
const SHORT_DEBT_SHARE = 0.5
/** One megabit per second in bytes per millisecond. */
const BYTES_PER_MS_PER_MBIT = 125

/** Token bucket of one direction of a link; one token is one byte. */
interface Bucket {
  tokens: number
  refilledAt: number
}

/** Refill rate and capacity of a bucket. */
interface Rate {
  readonly bytesPerMs: number
  readonly burstBytes: number
}

/** Creates the link budgets of one entry instance. Every bucket starts full. */
export function createLinkBudget (world: World): LinkBudget {
  const configuration = createConfigurationIndex(world)
  const buckets = new Map<string, Bucket>()

  /** Undefined within a region and where no link is configured. */
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
    waitMs: (from, to, bytes, lengthClass, now) => {
      const rate = rateOf(from, to)
      if (rate === undefined) return 0
      // A transfer that exceeds the capacity waits for a full bucket, because more never accumulates.
      const neededBytes = Math.min(bytes, rate.burstBytes) - (lengthClass === 'short' ? rate.burstBytes * SHORT_DEBT_SHARE : 0)
      const missingBytes = neededBytes - refill(from, to, rate, now).tokens
      if (missingBytes <= 0) return 0
      return rate.bytesPerMs === 0 ? Infinity : missingBytes / rate.bytesPerMs
    },
    consume: (from, to, bytes, now) => {
      const rate = rateOf(from, to)
      if (rate !== undefined) refill(from, to, rate, now).tokens -= bytes
    }
  }
}
