/**
 * Keeps the highest configuration version that this instance has seen and asks a peer for a newer one.
 */
import type { Command } from '../command.js'
import type { System } from '../engine.js'
import type { HeartbeatReceived } from '../event.js'
import type { World } from '../tables.js'

/**
 * A version is asked for again after this time, because the answer may be lost. Peers announce a new version within
 * the same second, and one copy of it is enough.
 */
export const PULL_RETRY_MS = 500

/** A process that handled no tick for this time was paused and may have missed changes. Peers hold it silent by then. */
export const PAUSE_THRESHOLD_MS = 3_000
/** Peers that are asked after a pause. One of them may be gone or behind. */
const PEERS_PULLED_AFTER_PAUSE = 2

/** Creates the system that owns `world.configuration`. */
export function createConfigurationSystem (world: World): System {
  let lastPull = { version: 0, at: -Infinity }
  let lastTickAt: number | undefined

  function pullNewerVersion (event: HeartbeatReceived, now: number): readonly Command[] {
    const { instanceId, peerAddress: address, configurationVersion: version } = event.heartbeat
    const sinceVersion = world.configuration?.version ?? 0
    if (version <= sinceVersion) return []
    if (version <= lastPull.version && now - lastPull.at < PULL_RETRY_MS) return []
    lastPull = { version, at: now }
    return [{ type: 'pull-configuration', instanceId, address, sinceVersion }]
  }

  /** Asks the peers heard last, without waiting for their heartbeats. */
  function pullAfterPause (): readonly Command[] {
    const sinceVersion = world.configuration?.version ?? 0
    return [...world.instances.values()]
      .filter(row => row.incarnation !== '')
      .sort((a, b) => b.heardAt - a.heardAt)
      .slice(0, PEERS_PULLED_AFTER_PAUSE)
      .map(row => ({ type: 'pull-configuration', instanceId: row.id, address: row.peerAddress, sinceVersion }))
  }

  function tick (now: number): readonly Command[] {
    const wasPaused = lastTickAt !== undefined && now - lastTickAt > PAUSE_THRESHOLD_MS
    lastTickAt = now
    return wasPaused ? pullAfterPause() : []
  }

  return {
    name: 'configuration',
    handlers: {
      'configuration-received': event => {
        // The store and the peers may answer with an older version than one already adopted.
        const { configuration } = event
        if (world.configuration === undefined || configuration.version > world.configuration.version) {
          world.configuration = configuration
        }
        return []
      },
      'heartbeat-received': pullNewerVersion,
      tick: (_event, now) => tick(now)
    }
  }
}
