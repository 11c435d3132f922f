import type { Drain } from '../../src/configuration.js'
import type { World } from '../../src/tables.js'
import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { createBlockTableBuilder } from '../../src/lookup/block-table.js'
import { resolveClientOrigin } from '../../src/lookup/client-origin.js'
import { lookup } from '../../src/lookup/lookup.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { CONFIGURATION, createHeartbeat, createLocalInstance } from '../fixtures.js'

function createLookupWorld (drains: readonly Drain[] = []): World {
  const world = createWorld(createLocalInstance('a1', 'z1'))
  const systems = [createMembershipSystem(world)]
  for (const [id, zone] of [['c3', 'z3'], ['a2', 'z1'], ['d4', 'z4'], ['b2', 'z2'], ['b1', 'z2']] as const) {
    runSystems(systems, { type: 'heartbeat-received', heartbeat: createHeartbeat(createLocalInstance(id, zone)) }, 0)
  }
  world.configuration = { ...CONFIGURATION, drains }
  const builder = createBlockTableBuilder()
  builder.add('10.2.0.0/16', { zone: 'z2', tenant: 'firm' })
  builder.add('10.9.0.0/16', { zone: 'gone', tenant: 'firm' })
  world.clientBlocks = builder.build()
  return world
}

function lookupIds (world: World, client?: string): readonly string[] {
  const query = client === undefined ? { service: 'tokens' } : { service: 'tokens', client }
  return lookup(world, query)._unsafeUnwrap().instances.map(instance => instance.id)
}

describe('resolveClientOrigin', () => {
  it('falls back to this instance\'s zone and the default tenant, guarding against clients without a valid origin', () => {
    const world = createLookupWorld()
    const origins = ['10.2.3.4', '10.9.0.1', '10.1.0.1', undefined].map(client => resolveClientOrigin(world, client))
    expect(origins).toEqual([
      { zone: 'z2', tenant: 'firm' }, { zone: 'z1', tenant: 'firm' },
      { zone: 'z1', tenant: 'default' }, { zone: 'z1', tenant: 'default' }
    ])
  })
})

describe('lookup', () => {
  it('ranks by distance and spreads clients within a tier, guarding against one instance that gets all clients', () => {
    const world = createLookupWorld()
    const first = new Set<string>()
    for (let host = 0; host < 32; host += 1) {
      const ranked = lookupIds(world, `10.2.0.${host}`)
      expect([ranked.slice(0, 2).sort(), ranked.slice(2, 4).sort(), ranked.slice(4).sort()])
        .toEqual([['b1', 'b2'], ['a1', 'a2'], ['c3', 'd4']])
      first.add(ranked[0] as string)
    }
    expect(first.size).toBe(2)
  })

  it('omits drained, stopping, leaving and silent instances, guarding against clients that are sent to them', () => {
    const world = createLookupWorld([{ kind: 'instance', target: 'a2' }, { kind: 'zone', target: 'z3' }, { kind: 'zone', target: 'z4', service: 'other' }])
    expect([...lookupIds(world)].sort()).toEqual(['a1', 'b1', 'b2', 'd4'])
    world.stoppingSince = 0
    const b1 = world.instances.get('b1')
    const b2 = world.instances.get('b2')
    if (b1 !== undefined) world.instances.set('b1', { ...b1, state: 'leaving' })
    if (b2 !== undefined) world.instances.set('b2', { ...b2, state: 'silent' })
    expect(lookupIds(world)).toEqual(['d4'])
  })

  it('returns at most 8 instances, and a reason if it can not rank any', () => {
    const world = createLookupWorld()
    const rows = [...world.instances.values()]
    for (let copy = 0; copy < 5; copy += 1) for (const row of rows) world.instances.set(`${row.id}-${copy}`, { ...row, id: `${row.id}-${copy}` })
    expect(lookupIds(world)).toHaveLength(8)
    expect(lookup(world, { service: 'none' })._unsafeUnwrapErr()).toEqual({ reason: 'unknown-service' })
    world.configuration = undefined
    expect(lookup(world, { service: 'tokens' })._unsafeUnwrapErr()).toEqual({ reason: 'no-configuration' })
  })
})
