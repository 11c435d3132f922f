/**
 * Guards against changed decisions for objects that need only one upstream. The file `recorded-decisions.txt` holds the
 * decisions of the code before popular objects were divided (commit 4ee8d8c), made by `recordDecisions` there.
 */
import { readFileSync } from 'node:fs'
import { expect, it } from 'vitest'
import { recordDecisions } from './decision-record.js'

const RECORDED = readFileSync(new URL('recorded-decisions.txt', import.meta.url), 'utf8').trimEnd().split('\n')

it('decides as before for objects that need only one upstream, guarding against a division that affects all objects', () => {
  expect(recordDecisions()).toEqual(RECORDED)
})
