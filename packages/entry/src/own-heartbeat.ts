/**
 * The newest heartbeat of this instance, as replies to peers and status pages need it.
 */
import type { Engine, Heartbeat } from '@arbutustray/core'

export interface OwnHeartbeat {
  /** Keeps a heartbeat that the engine sends. */
  readonly keep: (heartbeat: Heartbeat) => void
  /** The kept heartbeat with the current state and version; one without headroom if none was sent yet. */
  readonly current: () => Heartbeat
}

/** Creates the record of this instance's heartbeat. */
export function createOwnHeartbeat (engine: Engine): OwnHeartbeat {
  let kept: Heartbeat | undefined
  return {
    keep: heartbeat => { kept = heartbeat },
    current: () => {
      const { id, zone, address, peerAddress, incarnation } = engine.world.self
      return {
        headroom: [],
        sightings: [],
        leavingUpstreams: [],
        ...kept,
        instanceId: id,
        incarnation,
        zone,
        address,
        peerAddress,
        state: engine.world.stoppingSince === undefined ? 'live' : 'leaving',
        configurationVersion: engine.configuration()?.version ?? 0
      }
    }
  }
}
