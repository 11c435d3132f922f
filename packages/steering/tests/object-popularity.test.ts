/**
 * Guards against memory that grows with the number of objects, and against popular objects that are missed or stay popular.
 */
import { expect, it } from 'vitest'
import { createObjectPopularity } from '../src/object-popularity.js'

it('keeps the share of a popular object among many rare ones and lets it decay, guarding against popular objects that are forgotten or stay popular', () => {
  const popularity = createObjectPopularity()
  for (let index = 0; index < 20_000; index += 1) popularity.record('shop', index % 4 === 0 ? 'hot' : String(index), index)
  expect(popularity.shareOf('shop', 'hot', 20_000)).toBeGreaterThan(0.2)
  expect(popularity.shareOf('shop', 'hot', 20_000)).toBeLessThan(0.25)
  expect(popularity.shareOf('shop', '1', 20_000)).toBe(0)
  for (let at = 20_000; at < 60_000; at += 1) popularity.record('shop', String(at), at)
  expect(popularity.shareOf('shop', 'hot', 60_000)).toBeLessThan(0.01)
})

it('does not take an object for popular by its first request, guarding against wide spreading after a start', () => {
  const popularity = createObjectPopularity()
  popularity.record('shop', 'first', 0)
  expect(popularity.shareOf('shop', 'first', 0)).toBe(0)
})

it('counts requests without an object, guarding against an object that seems popular among few requests with one', () => {
  const popularity = createObjectPopularity()
  for (let at = 0; at < 10_000; at += 1) popularity.record('shop', at % 10 === 0 ? 'only' : undefined, at)
  expect(popularity.shareOf('shop', 'only', 10_000)).toBeLessThan(0.1)
})
