import { afterEach, beforeEach, expect, it, vi } from 'vitest'
import { createIntakeQueue } from '../src/intake-queue.js'

let handled: string[]
let clock: number

beforeEach(() => {
  handled = []
  clock = 0
  vi.spyOn(performance, 'now').mockImplementation(() => clock)
})

afterEach(() => {
  vi.restoreAllMocks()
})

/** A queue each of whose items takes some milliseconds. */
function create (workMs: number): ReturnType<typeof createIntakeQueue<string>> {
  return createIntakeQueue(item => {
    clock += workMs
    handled.push(item)
  })
}

it('an item is handled one turn after it was added, so that what follows on its connection is read before', () => {
  const queue = create(1)
  queue.add('a')
  vi.advanceTimersToNextTimer()
  expect(handled).toEqual([])
  queue.add('b')
  vi.advanceTimersToNextTimer()
  expect(handled).toEqual(['a'])
  vi.advanceTimersToNextTimer()
  expect(handled).toEqual(['a', 'b'])
})

it('a turn ends after 5 ms and the rest keeps its order, guarding against connections that wait to be accepted', () => {
  const queue = create(2)
  const items = ['a', 'b', 'c', 'd', 'e', 'f', 'g']
  items.forEach(item => queue.add(item))
  vi.advanceTimersToNextTimer()
  vi.advanceTimersToNextTimer()
  expect(handled).toEqual(['a', 'b', 'c'])
  queue.add('h')
  vi.advanceTimersToNextTimer()
  expect(handled).toEqual(['a', 'b', 'c', 'd', 'e', 'f'])
  vi.advanceTimersToNextTimer()
  expect(handled).toEqual([...items, 'h'])
})

it('counts what waits, guarding against a stop that ends the process before it was handled', () => {
  const queue = create(3)
  queue.add('a')
  queue.add('b')
  queue.add('c')
  expect(queue.size()).toBe(3)
  vi.advanceTimersToNextTimer()
  expect(queue.size()).toBe(3)
  vi.advanceTimersToNextTimer()
  expect(queue.size()).toBe(1)
  vi.advanceTimersToNextTimer()
  expect(queue.size()).toBe(0)
})
