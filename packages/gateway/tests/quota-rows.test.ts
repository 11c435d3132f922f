import { expect, it } from 'vitest'
import { parseQuotaRows } from '../src/quota-rows.js'

it('reads the rows that are valid, guarding against a peer of another build that creates tokens', () => {
  const rows = [['team', 0.25, 1.5], ['team', -1, 0], ['team', 0.1], ['team', 2, 0], [7, 0.1, 0], ['team', 0.1, -1], ['team', 0.1, 1e9], null]
  expect(parseQuotaRows(JSON.stringify(rows))).toEqual({ rows: [['team', 0.25, 1.5]], isComplete: false })
  expect(parseQuotaRows('[["team",0,1]]')).toEqual({ rows: [['team', 0, 1]], isComplete: true })
})

it.each(['', '{', '{"team":1}', 'null'])('reads no rows from %j, guarding against an exception in the peer port', text => {
  expect(parseQuotaRows(text)).toEqual({ rows: [], isComplete: false })
})
