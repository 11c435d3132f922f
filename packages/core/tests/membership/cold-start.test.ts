import type { ListedInstance } from '../../src/event.js'
import { expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { createLocalInstance } from '../fixtures.js'

it('treats upstreams of the first list as warm, guarding against an entry restart that cuts the slots of all upstreams', () => {
  const world = createWorld(createLocalInstance('a1', 'z1'))
  const systems = [createMembershipSystem(world)]
  const entry = (id: string): ListedInstance => ({ id, role: 'upstream', service: 'tokens', zone: 'z1', address: id, state: 'live' })
  runSystems(systems, { type: 'list-received', entries: [entry('u1')] }, 100)
  runSystems(systems, { type: 'list-received', entries: [entry('u1'), entry('u2')] }, 200)
  expect([...world.upstreams.values()].map(row => row.listedAt)).toEqual([-Infinity, 200])
})
