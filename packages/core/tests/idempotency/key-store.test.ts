import type { KeyStore } from '../../src/idempotency/key-store.js'
import type { RecordedAnswer } from '../../src/event.js'
import { describe, expect, it } from 'vitest'
import { createWorld } from '../../src/system.js'
import { createKeyStore, KEY_VALIDITY_MS } from '../../src/idempotency/key-store.js'
import { listedEntryInstance, createLocalInstance } from '../fixtures.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'

const answer: RecordedAnswer = { status: 201, headers: [['x', 'y']], body: new Uint8Array([1, 2]) }

function createStore (options: { id?: string, incarnation?: string, maxKeys?: number } = {}): KeyStore {
  const { id = 'i1', incarnation = 'a', maxKeys = 10 } = options
  const world = createWorld({ ...createLocalInstance(id, 'z1'), incarnation })
  createMembershipSystem(world).handlers['list-received']?.({ type: 'list-received', entries: [listedEntryInstance('i2', 'z2')] }, 0)
  return createKeyStore({ world, maxKeys })
}

function issueKey (issuer: KeyStore, now = 0): string {
  return issuer.issue(1, now)._unsafeUnwrap().keys[0] as string
}

describe('key store', () => {
  it('runs a key once and replays its answer, guarding against a second run by a retry', () => {
    const home = createStore()
    const key = issueKey(home)
    expect(key).toMatch(/^[\w.~-]+$/)
    expect(home.claim(key, 'r1', 1)).toEqual({ type: 'run' })
    expect(home.claim(key, 'r2', 2)).toEqual({ type: 'wait' })
    expect(home.claim(key, 'r3', 2)).toEqual({ type: 'wait' })
    home.abandon('r3')
    expect(home.settle(key, 'r2', 'not-run', 'deadline-passed', undefined, 3)).toEqual([])
    expect(home.settle(key, 'r1', 'served', 'home-zone', answer, 3)).toEqual([{ type: 'replay', requestId: 'r2', answer }])
    expect(home.settle(key, 'r1', 'not-run', 'no-capacity', undefined, 4)).toEqual([])
    expect(home.claim(key, 'r4', 4)).toEqual({ type: 'replay', answer })
  })

  it('keeps the outcomes not-run and unknown final, guarding against a late duplicate that runs', () => {
    const home = createStore()
    const [refused, doubtful] = home.issue(2, 0)._unsafeUnwrap().keys as [string, string]
    home.claim(refused, 'r1', 1)
    home.settle(refused, 'r1', 'not-run', 'no-capacity', undefined, 2)
    expect(home.claim(refused, 'r2', 3)).toEqual({ type: 'respond', outcome: 'not-run', reason: 'no-capacity' })
    home.claim(doubtful, 'r3', 1)
    home.claim(doubtful, 'r4', 1)
    expect(home.settle(doubtful, 'r3', 'unknown', 'upstream-failed', undefined, 2))
      .toEqual([{ type: 'respond', requestId: 'r4', outcome: 'unknown', reason: 'key-in-doubt', status: 502 }])
    home.settle(doubtful, 'r3', 'served', 'home-zone', answer, 3)
    expect(home.claim(doubtful, 'r5', 4)).toEqual({ type: 'respond', outcome: 'unknown', reason: 'key-in-doubt' })
  })

  it('does not run forged keys or keys of other instances and incarnations, guarding against a second run elsewhere', () => {
    const home = createStore()
    const key = issueKey(home)
    const altered = key.slice(0, -1) + (key.endsWith('A') ? 'B' : 'A')
    const invalid = { type: 'respond', outcome: 'not-run', reason: 'key-invalid' }
    const gone = { type: 'respond', outcome: 'unknown', reason: 'key-home-unreachable' }
    expect(home.claim('nonsense', 'r1', 0)).toEqual(invalid)
    expect(home.claim(altered, 'r1', 0)).toEqual(invalid)
    expect(home.claim(issueKey(createStore({ incarnation: 'b' })), 'r1', 0)).toEqual(gone)
    expect(home.claim(issueKey(createStore({ id: 'i9' })), 'r1', 0)).toEqual(gone)
    expect(home.claim(issueKey(createStore({ id: 'i2' })), 'r1', 0)).toEqual({ type: 'forward', instanceId: 'i2' })
    expect(home.claim(key, 'r1', 0)).toEqual({ type: 'run' })
  })

  it('answers unknown for an expired key, guarding against a second run after the record was dropped', () => {
    const home = createStore()
    const [key, late] = home.issue(2, 500)._unsafeUnwrap().keys as [string, string]
    home.claim(key, 'r1', 600)
    home.settle(key, 'r1', 'served', 'home-zone', answer, 700)
    expect(home.claim(key, 'r2', 500 + KEY_VALIDITY_MS - 1)).toEqual({ type: 'replay', answer })
    const expired = { type: 'respond', outcome: 'unknown', reason: 'key-expired' }
    for (const now of [500 + KEY_VALIDITY_MS, 5_000 + KEY_VALIDITY_MS]) {
      expect(home.claim(key, 'r3', now)).toEqual(expired)
      expect(home.claim(late, 'r4', now)).toEqual(expired)
    }
  })

  it('keeps the record of a running key after its expiry, guarding against waiting requests that get no answer', () => {
    const home = createStore()
    const key = issueKey(home)
    home.claim(key, 'r1', 1)
    expect(home.claim(key, 'r2', 2 * KEY_VALIDITY_MS)).toEqual({ type: 'wait' })
    expect(home.settle(key, 'r1', 'not-run', 'deadline-passed', undefined, 2 * KEY_VALIDITY_MS)).toHaveLength(1)
  })

  it('issues no keys when full until records expire, guarding against eviction of valid keys', () => {
    const home = createStore({ maxKeys: 2 })
    const keys = home.issue(3, 0)._unsafeUnwrap().keys as [string, string, string]
    expect(home.issue(1, 0).isOk()).toBe(true)
    home.claim(keys[0], 'r1', 1)
    home.claim(keys[1], 'r2', 1)
    home.settle(keys[1], 'r2', 'served', 'home-zone', undefined, 2)
    expect(home.issue(1, 3)._unsafeUnwrapErr()).toEqual({ reason: 'key-table-full' })
    expect(home.claim(keys[2], 'r3', 3)).toEqual({ type: 'respond', outcome: 'unknown', reason: 'key-table-full' })
    expect(home.claim(keys[1], 'r4', 3)).toEqual({ type: 'respond', outcome: 'served', reason: 'replayed' })
    expect(home.issue(1, 2_000 + KEY_VALIDITY_MS).isOk()).toBe(true)
    expect(home.issue(0, 0)._unsafeUnwrapErr()).toEqual({ reason: 'request-malformed' })
  })
})
