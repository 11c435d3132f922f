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

/** Creates the system that owns `world.configuration`. */
export function createConfigurationSystem (world: World): System {
  let asked = { version: 0, at: -Infinity }

  function pull (event: HeartbeatReceived, now: number): readonly Command[] {
    const { instanceId, peerAddress: address, configurationVersion: version } = event.heartbeat
    const sinceVersion = world.configuration?.version ?? 0
    if (version <= sinceVersion) return []
    if (version <= asked.version && now - asked.at < PULL_RETRY_MS) return []
    asked = { version, at: now }
    return [{ type: 'pull-configuration', instanceId, address, sinceVersion }]
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
      'heartbeat-received': pull
    }
  }
}
