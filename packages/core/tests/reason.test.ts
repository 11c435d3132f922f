import { readFileSync } from 'node:fs'
import { expect, it } from 'vitest'
import { REASONS } from '../src/reason.js'

it('docs/operating/reasons.md lists exactly the keys of REASONS, guarding against undocumented reasons', () => {
  const page = readFileSync(new URL('../../../docs/operating/reasons.md', import.meta.url), 'utf8')
  const described = [...page.matchAll(/^\| `([a-z-]+)` \|/gm)].map(match => match[1])
  expect(described.sort()).toEqual(Object.keys(REASONS).sort())
})
