import { expect, it } from 'vitest'
import { parseApiKey, removeTeamHeaders } from '../src/message-headers.js'
import { DIALECT } from './support.js'

it.each([
  [[], undefined],
  [['Proxy-Authorization', 'Bearer key'], undefined],
  [['Authorization', 'Bearer key'], 'key'],
  [['x-id', '1', 'AUTHORIZATION', 'bearer  k.e_y~+/-=='], 'k.e_y~+/-=='],
  [['authorization', ''], ''],
  [['authorization', 'Bearer'], ''],
  [['authorization', 'Bearer '], ''],
  [['authorization', 'key'], ''],
  [['authorization', 'Basic a2V5'], ''],
  [['authorization', 'Bearer one two'], ''],
  [['authorization', 'Bearer one, Bearer two'], ''],
  [['authorization', 'Bearer k\u00e9y'], ''],
  [['authorization', 'Bearer key', 'Authorization', 'Bearer key'], ''],
  [['authorization', '', 'authorization', 'Bearer key'], '']
])('parses the key of %j as %j, guarding against malformed credentials that count as no credentials', (raw, expected) => {
  expect(parseApiKey(raw)).toBe(expected)
})

it('parses a long malformed header in little time, guarding against a pattern that backtracks', () => {
  const startedAt = process.cpuUsage().user
  expect(parseApiKey(['authorization', `bearer ${' '.repeat(60_000)}`])).toBe('')
  expect(parseApiKey(['authorization', `bearer ${'a '.repeat(30_000)}`])).toBe('')
  expect(process.cpuUsage().user - startedAt).toBeLessThan(500_000)
})

it('removes all credentials and stated teams, guarding against a spelling that passes', () => {
  expect(removeTeamHeaders(['Authorization', 'a', 'x-id', '1', 'X-TEAM', 'b', 'aUthorization', 'c', 'x-team', 'd', 'x-teams', 'e'], DIALECT.headers)).toEqual(['x-id', '1', 'x-teams', 'e'])
})
