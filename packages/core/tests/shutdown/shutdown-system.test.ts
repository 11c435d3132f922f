import type { Request } from '../../src/tables.js'
import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { createShutdownSystem } from '../../src/shutdown/shutdown-system.js'
import { createLocalInstance } from '../fixtures.js'

const request: Request = {
  id: 'r1',
  service: 'tokens',
  kind: 'plain',
  length: 'long',
  tenant: 'default',
  originZone: 'z1',
  arrivedAt: 0,
  deadlineAt: 60_000,
  state: 'answering',
  contentLength: 0,
  refusals: 0
}

describe('shutdown system', () => {
  it('stops once, after 10 s and the last request, guarding against a stop that interrupts a request', () => {
    const world = createWorld(createLocalInstance('i1', 'z1'))
    const systems = [createShutdownSystem(world)]
    const tick = (now: number): unknown => runSystems(systems, { type: 'tick' }, now)
    expect(tick(0)).toEqual([])
    runSystems(systems, { type: 'stop-requested' }, 1_000)
    runSystems(systems, { type: 'stop-requested' }, 5_000)
    expect(tick(10_999)).toEqual([])
    world.requests.set('r1', request)
    expect(tick(11_000)).toEqual([])
    world.requests.delete('r1')
    expect(tick(30_000)).toEqual([{ type: 'stopped' }])
    expect(tick(30_010)).toEqual([])
  })
})
