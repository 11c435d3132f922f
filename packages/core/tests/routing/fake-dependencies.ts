/**
 * Fakes of the dependencies of the routing system, and a world with one service in two zones.
 */
import type { Configuration, Route } from '../../src/configuration.js'
import type { KeyStore } from '../../src/idempotency/key-store.js'
import type { FairQueue } from '../../src/limits/fair-queue.js'
import type { RoutingDependencies } from '../../src/routing/routing-dependencies.js'
import type { Instance, World } from '../../src/tables.js'
import { err } from 'neverthrow'
import { EMPTY_CONFIGURATION } from '../../src/configuration.js'
import { createOutstandingAttempts } from '../../src/limits/outstanding-attempts.js'
import { createWorld } from '../../src/system.js'

export const SLOTS = 2

const routes: readonly Route[] = [
  { method: '*', prefix: '/repeatable', kind: 'repeatable', length: 'short' },
  { method: '*', prefix: '/plain', kind: 'plain', length: 'short' },
  { method: '*', prefix: '/protected', kind: 'protected', length: 'short' },
  { method: '*', prefix: '/long', kind: 'plain', length: 'long' }
]

export const configuration: Configuration = {
  ...EMPTY_CONFIGURATION,
  version: 1,
  regions: [{ id: 'r' }],
  zones: [{ id: 'z1', region: 'r', instances: 1 }, { id: 'z2', region: 'r', instances: 1 }],
  services: [{
    id: 's', slots: SLOTS, connections: 10, deadlineMs: 1_000, maxBodyBytes: 100, refusalHeader: 'x-load-shed', coldStartMs: 0, routes
  }],
  places: [{ service: 's', zone: 'z1' }, { service: 's', zone: 'z2' }]
}

/** A world with `upstreams` upstreams in the own zone, and peer `p2` in zone `z2` with one free slot. */
export function createTestWorld (upstreams: number): World {
  const world = createWorld({ id: 'i1', zone: 'z1', address: 'i1:1', peerAddress: 'i1:2', incarnation: 'a' })
  world.configuration = configuration
  for (let n = 1; n <= upstreams; n += 1) {
    world.upstreams.set(`u${n}`, { id: `u${n}`, service: 's', zone: 'z1', address: `u${n}:1`, state: 'live', listedAt: 0 })
  }
  const peer: Instance = {
    id: 'p2',
    incarnation: 'b',
    zone: 'z2',
    address: 'p2:1',
    peerAddress: 'p2:2',
    state: 'live',
    heardAt: 0,
    configurationVersion: 1,
    headroom: new Map([['s', { service: 's', free: 1, slots: SLOTS, queued: 0 }]]),
    headroomAt: 0
  }
  world.instances.set(peer.id, peer)
  return world
}

function createListQueue (maxItems: number): FairQueue<string> {
  let items: string[] = []
  return {
    get size () { return items.length },
    push: (_tenant, item) => items.length < maxItems && items.push(item) > 0,
    peek: () => items[0],
    shift: () => items.shift(),
    remove (predicate) {
      const removed = items.filter(predicate)
      items = items.filter(item => !predicate(item))
      return removed
    }
  }
}

/** A key store for keys of the form `home/name`. Keys of `i1` are run once, others are forwarded to their home. */
function createFakeKeyStore (): KeyStore {
  const keys = new Map<string, { waiting: string[], outcome?: 'served' | 'not-run' | 'unknown' }>()
  return {
    issue: () => err({ reason: 'key-table-full' }),
    claim (key, requestId) {
      const home = key.split('/')[0]!
      if (home !== 'i1') return { type: 'forward', instanceId: home }
      const row = keys.get(key)
      if (row === undefined) {
        keys.set(key, { waiting: [] })
        return { type: 'run' }
      }
      if (row.outcome === undefined) {
        row.waiting.push(requestId)
        return { type: 'wait' }
      }
      if (row.outcome === 'served') return { type: 'replay', answer: { status: 200, headers: [] } }
      return { type: 'respond', outcome: row.outcome, reason: 'key-in-doubt' }
    },
    settle (key, _requestId, outcome, reason) {
      const row = keys.get(key)!
      row.outcome = outcome
      return row.waiting.map(requestId => outcome === 'served'
        ? { type: 'replay', requestId, answer: { status: 200, headers: [] } }
        : { type: 'respond', requestId, outcome, reason, status: 503 })
    },
    abandon (requestId) {
      for (const row of keys.values()) row.waiting = row.waiting.filter(id => id !== requestId)
    }
  }
}

/** Dependencies with fixed slot limits, and without limits on shifts, retries, hedges and links. */
export function createFakeDependencies (world: World, overrides: Partial<RoutingDependencies> = {}): RoutingDependencies {
  const outstanding = (id: string) => [...world.attempts.values()].filter(row => row.target.id === id).length
  const live = (service: string, zone: string) => [...world.upstreams.values()]
    .filter(row => row.service === service && row.zone === zone && row.state === 'live')
  return {
    outstandingAttempts: createOutstandingAttempts(),
    slotLimits: {
      limit: () => SLOTS,
      recordRefusal: () => {},
      recordCompletion: () => {},
      free: (service, zone) => live(service, zone).reduce((sum, row) => sum + SLOTS - outstanding(row.id), 0),
      total: (service, zone) => live(service, zone).length * SLOTS,
      usableAt: (service, zone, now) => live(service, zone).length > 0 ? now : Infinity
    },
    upstreamSelector: {
      select: (service, zone, _length, exclude) => live(service, zone)
        .filter(row => !exclude.has(row.id) && outstanding(row.id) < SLOTS)
        .sort((a, b) => outstanding(a.id) - outstanding(b.id))[0]?.id,
      recordStart: () => {},
      recordEnd: () => {},
      expectedServiceMs: () => 10
    },
    shiftLimiter: { recordRequest: () => {}, mayMove: () => true, recordMove: () => {} },
    linkBudget: { waitMs: () => 0, consume: () => {} },
    retryBudget: { recordRequest: () => {}, tryAcquire: () => true },
    hedgePolicy: { recordLatency: () => {}, delayMs: () => undefined, tryAcquire: () => true },
    keyStore: createFakeKeyStore(),
    createQueue: () => createListQueue(3),
    resolveOrigin: () => ({ zone: 'z1', tenant: 't' }),
    ...overrides
  }
}
