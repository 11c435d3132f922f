/**
 * Guards against more connections to an upstream than it accepts. Each instance sees only its own connections, so the
 * limit could be exceeded by all of them together.
 */
import { expect, it } from 'vitest'
import { DEPLOYMENT, arrival, startSteering, upstreamEntry } from './fixtures.js'

it('keeps the connections of all instances within an upstream\'s limit, guarding against connections that the upstream resets', () => {
  const limit = 10
  const ids = ['entry-1', 'entry-2', 'entry-3']
  const deployment = { ...DEPLOYMENT, services: DEPLOYMENT.services.map(service => ({ ...service, connectionLimit: limit })) }
  let dispatched = 0
  for (const id of ids) {
    const steering = startSteering([upstreamEntry('u1', { slots: 100 })], { self: { id, zone: 'a1', region: 'a' } }, deployment)
    steering.handle({ type: 'instances-counted', ids })
    for (let count = 0; count < 20; count += 1) {
      dispatched += steering.handle(arrival(`r${count}`, '/buy/x', String(count))).filter(({ type }) => type === 'dispatch').length
    }
  }
  expect(dispatched).toBeLessThanOrEqual(limit)
  expect(dispatched).toBeGreaterThanOrEqual(limit - ids.length)
})
