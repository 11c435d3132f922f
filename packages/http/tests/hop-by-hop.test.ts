import { expect, it } from 'vitest'
import { isHopByHop, parseConnectionOptions } from '../src/index.js'

it.each([
  ['transfer-encoding', undefined, true],
  ['x-mine', 'close, X-Mine', true],
  ['x-mine', 'keep-alive', false],
  ['content-type', undefined, false]
])('header %s with `Connection: %s` is hop-by-hop: %s', (name, connection, ends) => {
  expect(isHopByHop(name, parseConnectionOptions(connection))).toBe(ends)
})
