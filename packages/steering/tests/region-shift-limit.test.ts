/**
 * Guards against a large part of a region's traffic that moves to another region and back within seconds, as it would
 * at a cold start or in a burst if each request followed the preference of placement.
 */
import { expect, it } from 'vitest'
import { createRegionShiftLimit } from '../src/region-shift-limit.js'

const CAP = 0.15
const WINDOW_MS = 2_000

/** Decides on requests at a fixed rate; `preferred` is the share of them that placement prefers to move at a time. */
function replay (perSecond: number, seconds: number, preferred: (ms: number) => number): readonly boolean[] {
  const limit = createRegionShiftLimit()
  const moves: boolean[] = []
  let due = 0
  for (let index = 0; index < perSecond * seconds; index += 1) {
    const now = index * 1_000 / perSecond
    due += preferred(now)
    const prefersMove = due >= 1
    if (prefersMove) due -= 1
    moves.push(limit.shouldMove('shop', prefersMove ? 'move' : 'stay', now))
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
  ['all upstreams are cold for the first two seconds', (ms: number) => ms < 2_000 ? 0.6 : 0],
  ['a burst of three seconds', (ms: number) => ms > 4_000 && ms < 7_000 ? 0.8 : 0.02],
  ['a region is full for ten seconds', (ms: number) => ms > 5_000 && ms < 15_000 ? 0.9 : 0],
  ['load alternates every second', (ms: number) => Math.floor(ms / 1_000) % 2 === 0 ? 0.5 : 0]
])('changes the share of moved requests by less than the cap between two windows: %s', (_name, preferred) => {
  for (const perSecond of [20, 80, 300]) expect(largestChange(replay(perSecond, 25, preferred), perSecond)).toBeLessThan(CAP)
})

it('lets a region that stays full move its excess requests within 17 seconds, guarding against a limit that keeps it overloaded', () => {
  const moves = replay(100, 20, () => 0.5)
  expect(moves.slice(-300).filter(Boolean).length / 300).toBeGreaterThan(0.4)
})
