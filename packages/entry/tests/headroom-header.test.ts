import { describe, expect, it } from 'vitest'
import { formatHeadroom, parseHeadroom } from '../src/headroom-header.js'

describe('parseHeadroom', () => {
  it('reads what formatHeadroom writes', () => {
    const headroom = { service: 'token', free: 3, slots: 54, queued: 0 }
    expect(parseHeadroom('token', formatHeadroom(headroom))).toEqual(headroom)
  })

  it.each([undefined, '', 'free=1', 'free=-1, slots=2, queued=0', 'free=1, slots=2, queued=1e9'])(
    'ignores %s, guarding against a peer of another version', value => {
      expect(parseHeadroom('token', value)).toBe(undefined)
    })
})
