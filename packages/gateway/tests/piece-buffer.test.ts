import fc from 'fast-check'
import { expect, it } from 'vitest'
import { PieceBuffer } from '../src/piece-buffer.js'

it('returns the content of all pieces in order, guarding against a body that is changed on its way', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 40_000 }), { maxLength: 30 }), pieces => {
    const buffer = new PieceBuffer()
    pieces.forEach(piece => buffer.push(piece))
    const content = Buffer.concat(pieces)
    expect(buffer.bytes).toBe(content.length)
    expect(Buffer.concat(buffer.take()).equals(content)).toBe(true)
    expect(buffer.take()).toEqual([])
  }), { numRuns: 60 })
})

it('keeps small pieces in few blocks, guarding against one object for each piece', () => {
  const buffer = new PieceBuffer()
  for (let index = 0; index < 100_000; index += 1) buffer.push(Buffer.of(index & 0xff))
  expect(buffer.take().length).toBeLessThan(30)
})

it('does not refer to the memory of a piece, guarding against a body that changes when the memory is used again', () => {
  const buffer = new PieceBuffer()
  const piece = Buffer.from('first')
  buffer.push(piece)
  piece.fill('x')
  expect(Buffer.concat(buffer.take()).toString()).toBe('first')
})
