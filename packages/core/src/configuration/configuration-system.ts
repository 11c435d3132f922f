/**
 * Keeps the configuration with the highest version that this instance has received. Pulls a newer one from a peer whose
 * heartbeat announces it, and from recently heard peers after the process was paused.
 */
import type { Command } from '../command.js'
import type { System } from '../system.js'
import type { HeartbeatReceived } from '../event.js'
import type { World } from '../tables.js'

/**
 * A version is pulled again after this time, because the reply may be lost. Until then further announcements of the
 * version are ignored: all peers announce it within about a second, and one copy is enough.
 */
export const PULL_RETRY_MS = 500

/**
 * A process that handled no tick for this time was paused and may have missed changes. Its peers have marked it silent
 * by then.
 */
export const PAUSE_THRESHOLD_MS = 3_000
/** Peers to pull from after a pause. More than one, because a peer may be gone or have an old version too. */
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

  /** Pulls from the most recently heard peers without waiting for their heartbeats. */
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
        // Replies may arrive late and contain an older version than the current one.
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
