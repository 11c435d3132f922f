import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createTimerHeap } from '../../src/routing/timer-heap.js'

it('returns due timers in the order of their times, also after compaction, guarding against missed deadlines', () => {
  fc.assert(fc.property(fc.array(fc.nat(50)), fc.nat(50), (times, now) => {
    const heap = createTimerHeap()
    for (const [index, at] of times.entries()) heap.add(at, `${index}`)
    heap.compact(id => Number(id) % 3 !== 0)
    const due: number[] = []
    for (let id = heap.popDue(now); id !== undefined; id = heap.popDue(now)) due.push(times[Number(id)]!)
    expect(due).toEqual(times.filter((at, index) => index % 3 !== 0 && at <= now).sort((a, b) => a - b))
  }))
})
