/**
 * The planned stop of an entry instance. Peers and look-ups hear of it at once; the instance goes on serving until
 * cached look-ups have expired and nothing is in flight.
 */
import type { System } from '../engine.js'
import type { World } from '../tables.js'

/**
 * Time from the stop request in which requests are still served: 5 s until cached look-up answers have expired, then
 * 5 s for late retries of the clients that held them.
 */
export const SHUTDOWN_GRACE_MS = 10_000

/** Creates the system that owns `world.stoppingSince`. It emits `stopped` once. */
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
        if (isStoppedReported || !isStopOver(world, now) || world.requests.size > 0) return []
        isStoppedReported = true
        return [{ type: 'stopped' }]
      }
    }
  }
}

/** Whether a planned stop has reached the point from which new requests are refused `instance-stopping`. */
export function isStopOver (world: World, now: number): boolean {
  return world.stoppingSince !== undefined && now - world.stoppingSince >= SHUTDOWN_GRACE_MS
}
