import { expect, it } from 'vitest'
import { createRegionShiftLimit } from '../src/region-shift-limit.js'

const CAP = 0.15
const WINDOW_MS = 2_000

/** Moves of requests at a fixed rate; `preferred` is the share that load speaks for at a time. */
function replay (perSecond: number, seconds: number, preferred: (ms: number) => number): readonly boolean[] {
  const limit = createRegionShiftLimit()
  const moves: boolean[] = []
  let due = 0
  for (let index = 0; index < perSecond * seconds; index += 1) {
    const now = index * 1_000 / perSecond
    due += preferred(now)
    const wants = due >= 1
    if (wants) due -= 1
    moves.push(limit.shouldMove('shop', wants ? 'move' : 'stay', now))
  }
  return moves
}

function largestChange (moves: readonly boolean[], perSecond: number): number {
  const length = perSecond * WINDOW_MS / 1_000
  const share = (start: number): number => moves.slice(start, start + length).filter(Boolean).length / length
  let largest = 0
  for (let start = 0; start + 2 * length <= moves.length; start += Math.ceil(length / 10)) largest = Math.max(largest, Math.abs(share(start + length) - share(start)))
  return largest
}

it.each([
  ['all upstreams are cold at the start and warm two seconds later', (ms: number) => ms < 2_000 ? 0.6 : 0],
  ['a burst of three seconds', (ms: number) => ms > 4_000 && ms < 7_000 ? 0.8 : 0.02],
  ['a region that is full for ten seconds', (ms: number) => ms > 5_000 && ms < 15_000 ? 0.9 : 0],
  ['load that swings every second', (ms: number) => Math.floor(ms / 1_000) % 2 === 0 ? 0.5 : 0]
])('the share of moved requests changes by less than the cap: %s', (_name, preferred) => {
  for (const perSecond of [20, 80, 300]) expect(largestChange(replay(perSecond, 25, preferred), perSecond)).toBeLessThan(CAP)
})

it('a region that stays full moves what its upstreams can not carry, in time', () => {
  const moves = replay(100, 20, () => 0.5)
  expect(moves.slice(-300).filter(Boolean).length / 300).toBeGreaterThan(0.4)
})
