import type { ReadingCaller } from '../src/slow-callers.js'
import { expect, it } from 'vitest'
import { createSlowCallers } from '../src/slow-callers.js'

interface FakeCaller extends ReadingCaller { bytes: number, isClosed: boolean }

function fakeCaller (heldBytes: number): FakeCaller {
  const caller: FakeCaller = {
    bytes: 0,
    isClosed: false,
    heldBytes: () => caller.isClosed ? 0 : heldBytes,
    socket: { get bytesWritten () { return caller.bytes }, writableLength: 0, destroy: () => { caller.isClosed = true } }
  }
  return caller
}

function setUp (excessBytes: number, callers: readonly FakeCaller[]): { readonly enforce: (now: number) => void, readonly memory: { isFull: boolean } } {
  const memory = { isFull: true, excessBytes: () => excessBytes }
  return { enforce: createSlowCallers({ memory, callers: () => callers, onClosed: () => {} }), memory }
}

it('closes the callers that read slowest until enough memory is free, and no others', () => {
  const [none, slow, fast] = [fakeCaller(1_000), fakeCaller(1_000), fakeCaller(1_000)]
  const { enforce } = setUp(900, [fast, slow, none])
  enforce(0)
  slow.bytes = 100
  fast.bytes = 900
  enforce(999)
  expect([none, slow, fast].map(({ isClosed }) => isClosed)).toEqual([false, false, false])
  enforce(1_000)
  expect([none, slow, fast].map(({ isClosed }) => isClosed)).toEqual([true, false, false])
})

it('closes no caller that has read what is held for it, guarding against a close of callers that only ask for much', () => {
  const caller = fakeCaller(1_000)
  const { enforce } = setUp(5_000, [caller])
  enforce(0)
  caller.bytes = 1_000
  enforce(1_000)
  expect(caller.isClosed).toBe(false)
})

it('closes no caller while the memory suffices, and measures anew afterwards, guarding against a close for an old sample', () => {
  const caller = fakeCaller(1_000)
  const { enforce, memory } = setUp(900, [caller])
  enforce(0)
  memory.isFull = false
  enforce(1_000)
  memory.isFull = true
  enforce(5_000)
  expect(caller.isClosed).toBe(false)
  enforce(6_000)
  expect(caller.isClosed).toBe(true)
})
