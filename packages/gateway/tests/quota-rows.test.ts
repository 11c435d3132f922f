import type { QuotaRequest } from '@arbutustray/steering'
import { expect, it } from 'vitest'
import { formatQuotaRows, parseQuotaRows, readQuotaRows } from '../src/quota-rows.js'

it('reads the rows of a reply that are valid, guarding against a peer of another build that creates tokens', () => {
  const rows = [['team', 0.25, 1.5], ['team', -1, 0], ['team', 0.1], ['team', 2, 0], [7, 0.1, 0], ['team', 0.1, -1], ['team', 0.1, 1e9], null]
  expect(readQuotaRows(rows)).toEqual({ rows: [['team', 0.25, 1.5]], isComplete: false })
  expect([undefined, null, {}, 'team'].map(readQuotaRows)).toEqual(Array(4).fill({ rows: [], isComplete: false }))
})

it('reads what it writes, guarding against names of teams with separators', () => {
  const rows: readonly QuotaRequest[] = [['team', 0.25, 1.5], ['a,b;c&d=e%+ "ü"', 0, 12], ['', 1, 0]]
  const { search } = new URL(`http://peer/quota?sender=1&rows=${formatQuotaRows(rows)}`)
  expect(parseQuotaRows(search, 'rows')).toEqual({ rows, isComplete: true })
})

it.each(['', ';', 'team', 'team,0.1', 'team,2,0', 'team,-1,0', 'team,.,0', '%E0%A4%A,0.1,0', 'team,0.1,0,0', '[["team",0.1,0]]'])('reads no row from %j, guarding against an exception in the peer port', text => {
  expect(parseQuotaRows(`?rows=${text}`, 'rows')).toEqual({ rows: [], isComplete: false })
})

it('finds no rows in a query without them', () => {
  expect(parseQuotaRows('?sender=1', 'rows')).toBeUndefined()
})
