import { readFileSync } from 'node:fs'
import { expect, it } from 'vitest'
import { REASONS } from '../src/reason.js'

it('docs/operating/reasons.md has exactly the reasons of the table, guarding against answers that nobody can look up', () => {
  const page = readFileSync(new URL('../../../docs/operating/reasons.md', import.meta.url), 'utf8')
  const described = [...page.matchAll(/^\| `([a-z-]+)` \|/gm)].map(match => match[1])
  expect(described.sort()).toEqual(Object.keys(REASONS).sort())
})
