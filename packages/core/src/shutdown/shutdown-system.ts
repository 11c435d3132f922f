/**
 * Graceful shutdown of an entry instance. Once a planned stop is requested, heartbeats and look-ups no longer offer the
 * instance to clients. It serves requests for a grace period, then refuses new ones and stops when none is in flight.
 */
import type { System } from '../system.js'
import type { World } from '../tables.js'

/**
 * Time after the stop request in which new requests are still served: 5 s until cached look-up results have expired,
 * then 5 s for late retries of the clients that used them.
 */
export const SHUTDOWN_GRACE_MS = 10_000

/** Creates the system that writes `world.stoppingSince`. It emits `stopped` once, at the end of the shutdown. */
export function createShutdownSystem (world: World): System {
  let isStoppedReported = false
  return {
    name: 'shutdown',
    handlers: {
      'stop-requested': (_event, now) => {
        world.stoppingSince ??= now
        return []
      },
      tick: (_event, now) => {
        if (isStoppedReported || !isGracePeriodOver(world, now) || world.requests.size > 0) return []
        isStoppedReported = true
        return [{ type: 'stopped' }]
      }
    }
  }
}

/** Returns whether the grace period of a planned stop is over, so that new requests are refused `instance-stopping`. */
export function isGracePeriodOver (world: World, now: number): boolean {
  return world.stoppingSince !== undefined && now - world.stoppingSince >= SHUTDOWN_GRACE_MS
}
