import type { Change, Operation } from '../../src/configuration.js'
import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { applyChanges, applyOperations, changesSince, createConfigurationSystem, makePlan, applyChange, determineWriteOutcome } from '../../src/configuration/index.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { CONFIGURATION, createHeartbeat, createLocalInstance, SERVICE } from '../fixtures.js'

const drainZ1: Operation = { table: 'drains', put: { kind: 'zone', target: 'z1' } }

function change (version: number, operations: readonly Operation[] = []): Change {
  return { version, changeId: `c${version}`, actor: 'ana', reason: 'test', at: 0, operations }
}

describe('applyOperations', () => {
  it.each<[string, Operation[], string]>([
    ['a reference to a missing row', [{ table: 'places', put: { service: 'none', zone: 'z1' } }], 'unknown-reference'],
    ['a removal that breaks references', [{ table: 'zones', remove: 'z1' }], 'unknown-reference'],
    ['a removal of a missing row', [{ table: 'places', remove: 'tokens@z9' }], 'unknown-row'],
    ['two operations on a row', [drainZ1, { table: 'drains', remove: 'zone:z1' }], 'duplicate-row'],
    ['a number out of range', [{ table: 'services', put: { ...SERVICE, slots: 0 } }], 'out-of-range'],
    ['a share that is no number', [{ table: 'rules', put: { service: 'tokens', scope: 'zone', shiftCap: NaN, longShare: 1 } }], 'out-of-range'],
    ['an id with a key separator', [{ table: 'regions', put: { id: 'a@b' } }], 'malformed']
  ])('refuses %s', (_name, operations, code) => {
    expect(applyOperations(CONFIGURATION, operations)._unsafeUnwrapErr()[0]?.code).toBe(code)
  })
})

describe('makePlan', () => {
  it('has an id that depends on the operations and the version, guarding against a confirmation of a different plan', () => {
    const reordered: Operation = { put: { target: 'z1', kind: 'zone' }, table: 'drains' }
    const plan = makePlan(CONFIGURATION, [drainZ1])._unsafeUnwrap()
    expect(plan.moves).toEqual([{ service: 'tokens', fromZone: 'z1', toZone: 'z2', share: 1, cap: 0.25 }])
    expect(plan.blockers).toEqual([])
    expect(makePlan(CONFIGURATION, [reordered])._unsafeUnwrap().planId).toBe(plan.planId)
    expect(makePlan({ ...CONFIGURATION, version: 2 }, [drainZ1])._unsafeUnwrap().planId).not.toBe(plan.planId)
  })

  it('blocks invalid changes and shifts above the cap, guarding against their confirmation', () => {
    const blockers = (operations: readonly Operation[]): readonly string[] =>
      makePlan(CONFIGURATION, operations)._unsafeUnwrap().blockers
    const drain = (target: string): Operation => ({ table: 'drains', put: { kind: 'zone', target } })
    expect(blockers([drain('z1'), drain('z2')])).toEqual([
      'rules tokens: 100% of the traffic of zone z1 would shift, the cap is 25%',
      'rules tokens: 100% of the traffic of zone z2 would shift, the cap is 25%'
    ])
    expect(blockers([drain('z1'), drain('z2'), drain('z3')]))
      .toContain('services tokens: no place would be left that takes new work')
    expect(blockers([drain('z9')])).toEqual(['drains zone:z9: target z9 does not exist'])
    expect(makePlan(CONFIGURATION, [])._unsafeUnwrapErr()).toEqual({ reason: 'request-malformed' })
  })
})

describe('changes', () => {
  it('determines the outcome of a write from the object read back, guarding against a lost or duplicate change', () => {
    const mine = { ...change(2, [drainZ1]), changeId: 'mine' }
    const written = applyChange(CONFIGURATION, mine)._unsafeUnwrap()
    const other = applyChange(CONFIGURATION, change(2))._unsafeUnwrap()
    expect(determineWriteOutcome(CONFIGURATION, mine)).toBe('retry')
    expect(determineWriteOutcome(written, mine)).toBe('applied')
    expect(determineWriteOutcome(other, mine)).toBe('lost')
    const later = Array.from({ length: 64 }, (_, index) => change(index + 3))
    expect(determineWriteOutcome(applyChanges(written, later.slice(0, 63))._unsafeUnwrap(), mine)).toBe('applied')
    expect(determineWriteOutcome(applyChanges(written, later)._unsafeUnwrap(), mine)).toBe('unknown')
    expect(applyChange(written, mine).isErr()).toBe(true)
  })

  it('returns all changes that a peer lacks or undefined, guarding against a gap between versions', () => {
    const changes = Array.from({ length: 70 }, (_, index) => change(index + 2, index === 0 ? [drainZ1] : []))
    const newest = applyChanges(CONFIGURATION, changes)._unsafeUnwrap()
    expect(newest.recent).toHaveLength(64)
    expect(changesSince(newest, newest.version - 65)).toBeUndefined()
    expect(changesSince(newest, newest.version - 64)).toHaveLength(64)
    expect(changesSince(newest, newest.version)).toEqual([])
  })
})

describe('configuration system', () => {
  it('adopts only higher versions and pulls announced ones, guarding against a rollback by a late reply', () => {
    const world = createWorld(createLocalInstance('i1', 'z1'))
    const { handlers } = createConfigurationSystem(world)
    for (const version of [3, 2, 3, 5, 4]) {
      handlers['configuration-received']?.({ type: 'configuration-received', source: 'peer', configuration: { ...CONFIGURATION, version } }, 0)
    }
    expect(world.configuration?.version).toBe(5)
    const receiveVersion = (version: number, now: number): unknown => handlers['heartbeat-received']?.(
      { type: 'heartbeat-received', heartbeat: createHeartbeat(createLocalInstance('i2', 'z1'), { configurationVersion: version }) }, now)
    const pull = { type: 'pull-configuration', instanceId: 'i2', address: 'i2:2', sinceVersion: 5 }
    expect([receiveVersion(5, 0), receiveVersion(6, 1), receiveVersion(6, 2), receiveVersion(7, 3), receiveVersion(7, 503)]).toEqual([[], [pull], [], [pull], [pull]])
  })

  it('pulls from peers after a pause, guarding against the use of an old configuration until the next heartbeat', () => {
    const world = createWorld(createLocalInstance('i1', 'z1'))
    const systems = [createConfigurationSystem(world), createMembershipSystem(world)]
    const pulls = (now: number): readonly string[] => runSystems(systems, { type: 'tick' }, now)
      .flatMap(command => command.type === 'pull-configuration' ? [command.instanceId] : [])
    for (const id of ['i2', 'i3', 'i4']) {
      runSystems(systems, { type: 'heartbeat-received', heartbeat: createHeartbeat(createLocalInstance(id, 'z1')) }, Number(id.slice(1)))
    }
    expect([pulls(10), pulls(3_010), pulls(6_011), pulls(6_021)]).toEqual([[], [], ['i4', 'i3'], []])
  })
})
