import type { Run } from '../../src/index.js'
import type { Sample } from '../../src/demo/caller.js'
import { describe, expect, it } from 'vitest'
import { formatSummary } from '../../src/demo/report.js'
import { findBreaches } from '../../src/demo/verify.js'

const drain = { upstream: 'u1', confirmedAt: 1_000, boundMs: 3_000 }

const run = (path: string, more: Partial<Run> = {}): Run => ({
  upstream: 'u2', requestId: 'r', method: 'POST', path, bytes: 0, sha256: '', started: 0, ended: 1, end: 'served', ...more
})

const sample = (path: string, end: Sample['end'], key?: string): Sample => ({
  spec: { kind: 'check', service: 's', method: 'POST', path, ...(key === undefined ? {} : { key }) }, end, detail: '503 not-run', ms: 1
})

describe('findBreaches', () => {
  it('finds no breach if all guarantees hold', () => {
    const runs = [run('/purchases/1', { key: 'k1' }), run('/a', { upstream: 'u1', started: 3_900 })]
    expect(findBreaches([sample('/purchases/1', 'whole', 'k1'), sample('/a', 'whole'), sample('/b', 'refused')], runs, drain)).toEqual([])
  })

  it.each([
    ['a key that ran twice', [], [run('/purchases/1', { key: 'k1' }), run('/purchases/1', { key: 'k1' })], 'key k1 ran 2 times'],
    ['a purchase without its key', [], [run('/purchases/1')], '/purchases/1 ran without its key'],
    ['a run of a refused request', [sample('/a', 'refused')], [run('/a')], '/a ran although'],
    ['a run of a refused key', [sample('/purchases/1', 'refused', 'k1')], [run('/purchases/1', { key: 'k1' })], '/purchases/1 ran although'],
    ['an answer without a run', [sample('/a', 'whole')], [], '/a was answered without a run'],
    ['new work at a drained upstream', [], [run('/a', { upstream: 'u1', started: 4_500 })], '/a started at the drained u1 3500 ms'],
    ['work that the drain interrupted', [], [run('/a', { upstream: 'u1', end: 'cancelled' })], '/a at the drained u1 ended as cancelled']
  ] as const)('finds %s, guarding against a demo that passes despite it', (_name, samples, runs, text) => {
    expect(findBreaches(samples, runs, drain).join()).toContain(text)
  })
})

it('counts every request once in the summary line', () => {
  const samples = [sample('/a', 'whole'), sample('/b', 'refused'), sample('/c', 'lost'), sample('/d', 'lost')]
  expect(formatSummary(samples)).toBe('demo: 4 requests, 1 whole, 1 refused, 2 lost')
})
