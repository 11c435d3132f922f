/**
 * Guards against popular objects that stay at one upstream, and against copies that are given up with each short fall of the
 * demand.
 */
import type { Deployment, SteeringCommand } from '../src/index.js'
import { expect, it, vi } from 'vitest'
import { createObjectCopies, MIN_DIVIDED_DEMAND } from '../src/object-copies.js'
import { arrival, DEPLOYMENT, READ, startSteering, upstreamEntries, upstreamEntry } from './fixtures.js'

it('divides an object only from the threshold on, guarding against copies of objects that one upstream can serve', () => {
  const copies = createObjectCopies()
  expect(copies.countFor('shop', 'a', MIN_DIVIDED_DEMAND - 0.01, 0)).toBe(1)
  expect(copies.dividedCount()).toBe(0)
  expect(copies.countFor('shop', 'a', MIN_DIVIDED_DEMAND, 0)).toBe(2)
  expect(copies.countFor('other', 'a', 0.5, 0)).toBe(1)
  expect(copies.dividedCount()).toBe(1)
})

it('raises the number at once and lowers it slowly, guarding against copies that are warmed up again with each wave', () => {
  const copies = createObjectCopies()
  expect(copies.countFor('shop', 'a', 1, 0)).toBe(2)
  expect(copies.countFor('shop', 'a', 6, 100)).toBe(12)
  expect(copies.countFor('shop', 'a', 1, 3_000)).toBeGreaterThan(9)
  for (let now = 3_000; now < 120_000; now += 1_000) copies.countFor('shop', 'a', 0.2, now)
  expect(copies.countFor('shop', 'a', 0.2, 120_000)).toBe(1)
  expect(copies.dividedCount()).toBe(0)
})

it('remembers a bounded number of objects, guarding against memory that grows while popularity moves', () => {
  const copies = createObjectCopies()
  for (let index = 0; index < 10_000; index += 1) copies.countFor('shop', String(index), 2, 0)
  expect(copies.dividedCount()).toBeLessThan(2_000)
})

let lastId = 0

/** Sends a request, answers it and returns its upstream and the kind of its placement. */
function send (steering: ReturnType<typeof startSteering>, objectKey: string): { id: string, kind: string } {
  lastId += 1
  const [command] = steering.handle(arrival(`r${lastId}`, '/read/x', objectKey)) as readonly SteeringCommand[]
  if (command.type !== 'dispatch') throw new Error(command.type)
  vi.advanceTimersByTime(10)
  steering.handle({ type: 'attempt-answered', attemptId: command.attemptId, status: 200, load: { running: 0, waiting: 0, slots: 9, slowdown: 1 } })
  return { id: command.upstreamId, kind: command.basis.kind }
}

const ENTRIES = upstreamEntries(40)
const IN_REGION = ENTRIES.length / 2

/** Starts an engine whose round trips to both zones of its region are equal, so that none is preferred for them. */
function startDivided (deployment: Deployment = DEPLOYMENT): ReturnType<typeof startSteering> {
  const steering = startSteering(ENTRIES, {}, deployment)
  for (const zone of ['a1', 'a2']) steering.handle({ type: 'zone-reached', zone, roundTripMs: 2 })
  return steering
}

const COUNT = 1_500

/** Requests, every third of which is for one object. */
function sendPopular (steering: ReturnType<typeof startSteering>): ReadonlyArray<{ id: string, kind: string }> {
  return Array.from({ length: COUNT }, (_, index) => ({ index, ...send(steering, index % 3 === 0 ? 'hot' : String(index)) }))
    .filter(({ index }) => index % 3 === 0).slice(COUNT / 6)
}

it('divides a popular object over upstreams of one region, guarding against a hot spot and against copies in all regions', () => {
  const sent = sendPopular(startDivided())
  const ids = new Set(sent.map(({ id }) => id))
  expect(ids.size).toBeGreaterThan(8)
  expect(new Set([...ids].map(id => ENTRIES.find(entry => entry.id === id)?.zone[0])).size).toBe(1)
  expect(new Set(sent.map(({ kind }) => kind))).toEqual(new Set(['divided']))
})

it('divides over usable upstreams only, guarding against requests to one that has left', () => {
  const steering = startDivided()
  const [{ id }] = sendPopular(steering)
  steering.handle({ type: 'upstreams-listed', entries: [{ ...ENTRIES.find(entry => entry.id === id) ?? upstreamEntry(id), state: 'draining' }], graceMs: 60_000 })
  expect(sendPopular(steering).map(sent => sent.id)).not.toContain(id)
})

it('does not divide where the region has one upstream, guarding against a request without a candidate', () => {
  const steering = startSteering([upstreamEntry('near'), upstreamEntry('far', { zone: 'b1', address: '10.0.0.2:1' })])
  expect(new Set(sendPopular(steering).map(({ kind }) => kind))).toEqual(new Set(['ranked']))
})

it('uses all upstreams of the region for one object of a route without affinity, guarding against a hot spot where nothing is gained by it', () => {
  const steering = startDivided({ ...DEPLOYMENT, routes: [{ ...READ, hasAffinity: false }] })
  const sent = Array.from({ length: COUNT }, () => send(steering, 'same'))
  expect(new Set(sent.map(({ id }) => id)).size).toBe(IN_REGION)
  expect(new Set(sent.map(({ kind }) => kind))).toEqual(new Set(['spread']))
})
