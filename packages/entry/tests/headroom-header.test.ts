import { describe, expect, it } from 'vitest'
import { formatHeadroom, parseHeadroom } from '../src/headroom-header.js'

describe('parseHeadroom', () => {
  it('parses the output of formatHeadroom', () => {
    const headroom = { service: 'token', free: 3, slots: 54, queued: 0 }
    expect(parseHeadroom('token', formatHeadroom(headroom))).toEqual(headroom)
  })

  it.each([undefined, '', 'free=1', 'free=-1, slots=2, queued=0', 'free=1, slots=2, queued=1e9'])(
    'returns undefined for %s, guarding against headers of a peer with another version', value => {
      expect(parseHeadroom('token', value)).toBe(undefined)
    })
})
