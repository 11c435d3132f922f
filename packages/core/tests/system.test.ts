import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../src/system.js'
import type { System } from '../src/system.js'

const self = { id: 'i1', zone: 'z1', address: '127.0.0.1:1', peerAddress: '127.0.0.1:2', incarnation: 'a' }

describe('runSystems', () => {
  it('calls the systems in order and returns all commands, guarding against a skipped or reordered system', () => {
    const world = createWorld(self)
    const first: System = {
      name: 'first',
      handlers: {
        'stop-requested': (_event, now) => {
          world.stoppingSince = now
          return [{ type: 'cancel-attempt', attemptId: 'a1' }]
        }
      }
    }
    const second: System = {
      name: 'second',
      handlers: { 'stop-requested': () => world.stoppingSince === 5 ? [{ type: 'stopped' }] : [] }
    }
    expect(runSystems([first, second], { type: 'stop-requested' }, 5)).toEqual([
      { type: 'cancel-attempt', attemptId: 'a1' },
      { type: 'stopped' }
    ])
    expect(runSystems([first, second], { type: 'tick' }, 6)).toEqual([])
  })
})
