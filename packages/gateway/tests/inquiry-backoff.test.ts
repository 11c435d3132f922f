/**
 * Guards against inquiries for quotas that take processor time although no instance can lend.
 */
import { expect, it } from 'vitest'
import { createInquiryBackoff } from '../src/inquiry-backoff.js'

const askedOf = (backoff: ReturnType<typeof createInquiryBackoff>, rounds: number): string =>
  Array.from({ length: rounds }, () => backoff.shouldAsk(true) ? 'x' : '-').join('')

it('asks in each round while something is granted', () => {
  const backoff = createInquiryBackoff()
  for (let round = 0; round < 10; round += 1) {
    expect(backoff.shouldAsk(true)).toBe(true)
    backoff.recordGrant()
  }
})

it('leaves out up to three rounds while nothing is granted', () => {
  expect(askedOf(createInquiryBackoff(), 18)).toBe('xx-x--x---x---x---')
})

it('asks at once after a grant and after a round without a shortage', () => {
  const backoff = createInquiryBackoff()
  askedOf(backoff, 12)
  backoff.recordGrant()
  expect(askedOf(backoff, 2)).toContain('x')
  askedOf(backoff, 12)
  expect(backoff.shouldAsk(false)).toBe(false)
  expect(backoff.shouldAsk(true)).toBe(true)
})
