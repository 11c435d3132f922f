import type { World } from '../../src/tables.js'
import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { SILENT_AFTER_MS } from '../../src/membership/instance-table.js'
import { CONFIGURATION_WATCHERS_PER_ZONE, computePlatformPolling } from '../../src/membership/platform-polling.js'
import { createHeartbeat, createLocalInstance } from '../fixtures.js'

const ZONE_SIZE = 46

function zoneWorlds (): readonly World[] {
  const ids = Array.from({ length: ZONE_SIZE }, (_, index) => `i${index}`)
  return ids.map(id => {
    const world = createWorld(createLocalInstance(id, 'z1'))
    const systems = [createMembershipSystem(world)]
    for (const other of ids.filter(row => row !== id)) {
      runSystems(systems, { type: 'heartbeat-received', heartbeat: createHeartbeat(createLocalInstance(other, 'z1')) }, 0)
    }
    return world
  })
}

describe('computePlatformPolling', () => {
  it('gives all instances the same few watchers, guarding against a fleet that exceeds the platform\'s rate limits', () => {
    const watchers = zoneWorlds().filter(world => computePlatformPolling(world).watchesConfiguration)
    expect(watchers).toHaveLength(CONFIGURATION_WATCHERS_PER_ZONE)
  })

  it('replaces watchers that are silent, guarding against a zone where no instance watches the configuration', () => {
    for (const world of zoneWorlds()) {
      runSystems([createMembershipSystem(world)], { type: 'tick' }, SILENT_AFTER_MS + 1)
      expect(computePlatformPolling(world).watchesConfiguration).toBe(true)
    }
  })

  it('polls the list each second in a small fleet and less often in a large one', () => {
    const world = createWorld(createLocalInstance('i0', 'z1'))
    expect(computePlatformPolling(world).listPollPeriodMs).toBe(1_000)
    const entries = Array.from({ length: 3_700 }, (_, index) => (
      { id: `i${index}`, role: 'entry', zone: `z${index % 80}`, address: 'a', peerAddress: 'p', state: 'live' } as const))
    runSystems([createMembershipSystem(world)], { type: 'list-received', entries }, 0)
    expect(computePlatformPolling(world).listPollPeriodMs).toBe(18_500)
  })
})
