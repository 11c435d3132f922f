import type { Team } from '../src/index.js'
import type { QuotaExchange } from '../src/team-quota.js'
import fc from 'fast-check'
import { expect, it } from 'vitest'
import { createQuotaShare, LEASE_MS, MAX_LENT_RATIO } from '../src/quota-share.js'
import { createQuotaExchange } from '../src/team-quota.js'

const LIMITS = { windowMs: 5_000, overshoot: 0.1, slack: 20 }
const TEAM: Team = { name: 'team', apiKeys: [], priority: 0, quota: { ratePerSecond: 10, burst: 10 }, homeRegions: [] }
const INSTANCES = ['a', 'b', 'c', 'd'].map(id => ({ id, weight: 1 }))
/** Long after the start of the process. */
const SETTLED = 60_000

function start (self: string, startedAt = 0, readWall = () => SETTLED): QuotaExchange {
  const quota = createQuotaExchange({ self, limits: LIMITS, startedAt, readWall })
  quota.updateTeams([TEAM], startedAt)
  quota.updateInstances(INSTANCES, startedAt)
  return quota
}

/** Requests that are admitted at once. */
function drain (quota: QuotaExchange, now: number): number {
  let count = 0
  while (quota.tryAcquire(TEAM, now).admitted) count += 1
  return count
}

it('admits a first request at each instance without a lease, guarding against refusals of teams with few requests', () => {
  expect(INSTANCES.map(({ id }) => start(id).tryAcquire(TEAM, SETTLED).admitted)).toEqual([true, true, true, true])
})

it('admits all requests of a team without a quota, guarding against a limit of 0', () => {
  const unlimited: Team = { ...TEAM, name: 'unlimited', quota: undefined }
  expect(start('a').tryAcquire(unlimited, 0)).toEqual({ admitted: true, retryAfterMs: 0 })
})

it('returns the token of a request that has not run, but not beyond the capacity, guarding against a quota that refusals use up', () => {
  const quota = start('a')
  const count = drain(quota, SETTLED)
  quota.giveBack(TEAM, SETTLED)
  expect(drain(quota, SETTLED)).toBe(1)
  for (let returned = 0; returned < 100; returned += 1) quota.giveBack(TEAM, SETTLED)
  expect(drain(quota, SETTLED)).toBe(count)
})

it('states the time until the next token within its bounds, guarding against retries that are refused again', () => {
  const quota = start('a')
  drain(quota, SETTLED)
  const { retryAfterMs } = quota.tryAcquire(TEAM, SETTLED)
  expect(retryAfterMs).toBeGreaterThanOrEqual(200)
  expect(retryAfterMs).toBeLessThanOrEqual(2_000)
  expect(quota.tryAcquire(TEAM, SETTLED + retryAfterMs).admitted).toBe(true)
})

it('has no tokens before the instances are known, guarding against an instance that takes the whole quota', () => {
  const quota = createQuotaExchange({ self: 'a', limits: LIMITS, startedAt: 0, readWall: () => SETTLED })
  quota.updateTeams([TEAM], 0)
  expect(quota.tryAcquire(TEAM, SETTLED)).toEqual({ admitted: false, retryAfterMs: 2_000 })
})

it('uses only refilled tokens and a part of the slack after a start, guarding against a process that spends again what its predecessor spent', () => {
  const quota = start('a', 0)
  const perWindow = 10 * LIMITS.windowMs / 1_000 + 10
  // Half of the base share of 1/4 while leases of the predecessor may be valid.
  const share = (1 - MAX_LENT_RATIO) / 4
  const capacity = share * (10 + 0.9 * LIMITS.slack + 0.3 * LIMITS.overshoot * perWindow)
  const atStart = Math.min(capacity, (0.7 * LIMITS.slack + 0.5 * LIMITS.overshoot * perWindow) / 4)
  expect(drain(quota, 0)).toBe(Math.floor(atStart))
  const refilled = (LEASE_MS - 1) / 1_000 * 10 * share
  expect(drain(quota, LEASE_MS - 1)).toBe(Math.floor(Math.min(capacity, atStart % 1 + refilled)))
})

it('lends nothing after a start and to an instance that is not registered, guarding against shares that add up to more than 1', () => {
  expect(start('a', 0).grant('b', [['team', 0.1, 0]], LEASE_MS - 1)).toEqual([])
  expect(start('a').grant('stranger', [['team', 0.1, 1]], SETTLED)).toEqual([])
  expect(start('a').grant('a', [['team', 0.1, 1]], SETTLED)).toEqual([])
  expect(start('a').grant('b', [['unknown', 0.1, 1]], SETTLED)).toEqual([])
})

it('starts with the smaller share for a window after its share has grown, guarding against tokens that a removed instance has spent', () => {
  const before = drain(start('a'), SETTLED)
  const quota = start('a')
  quota.updateInstances(INSTANCES.slice(0, 2), SETTLED)
  expect(drain(quota, SETTLED)).toBe(before)
  const later = start('a')
  later.updateInstances(INSTANCES.slice(0, 2), SETTLED)
  expect(drain(later, SETTLED + LIMITS.windowMs)).toBeGreaterThan(before)
})

it('asks for no more than the whole quota and not at all without recent requests, guarding against traffic without use', () => {
  const quota = start('a')
  expect(quota.inquiries(['b', 'c', 'd'], SETTLED)).toEqual([])
  for (let count = 0; count < 1_000; count += 1) quota.tryAcquire(TEAM, SETTLED)
  const inquiries = quota.inquiries(['b', 'c', 'd', 'stranger'], SETTLED)
  expect(inquiries.map(({ peerId }) => peerId).sort()).toEqual(['b', 'c', 'd'])
  for (const { requests } of inquiries) expect(requests[0][1]).toBeLessThanOrEqual(0.75)
})

it('moves tokens with a grant, guarding against tokens that two instances spend', () => {
  const lender = start('a')
  const borrower = start('b')
  const before = drain(borrower, SETTLED)
  const whole = drain(start('c'), SETTLED)
  const [{ requests }] = borrower.inquiries(['a'], SETTLED)
  const grants = lender.grant('b', requests, SETTLED)
  expect(borrower.recordGrants(grants, { monotonic: SETTLED, wall: SETTLED }, SETTLED)).toBe(1)
  const moved = drain(borrower, SETTLED)
  expect(moved).toBeGreaterThan(0)
  expect(before + moved + drain(lender, SETTLED)).toBeLessThanOrEqual(2 * whole)
})

it.each([
  ['monotonic', { monotonic: SETTLED - LEASE_MS, wall: SETTLED }],
  ['wall', { monotonic: SETTLED, wall: SETTLED - LEASE_MS }]
])('drops a grant whose lease has expired by the %s clock, guarding against a machine that was suspended', (_clock, askedAt) => {
  const borrower = start('b')
  drain(borrower, SETTLED)
  expect(borrower.recordGrants([['team', 0.1, 5]], askedAt, SETTLED)).toBe(0)
  expect(drain(borrower, SETTLED)).toBe(0)
})

it('holds shares that add up to at most 1 while instances lend, borrow, start again and lose replies, guarding against a quota that is exceeded', () => {
  const step = fc.record({
    afterMs: fc.integer({ min: 0, max: 2_000 }),
    lender: fc.nat(3),
    borrower: fc.nat(3),
    share: fc.double({ min: 0, max: 1, noNaN: true }),
    replyMs: fc.integer({ min: 0, max: 4_000 }),
    restarts: fc.option(fc.nat(3), { freq: 6 })
  })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), steps => {
    let now = SETTLED
    const shares = INSTANCES.map(({ id }) => {
      const share = createQuotaShare(id, 0)
      share.update(INSTANCES)
      return share
    })
    const replies: Array<{ readonly at: number, readonly askedAt: number, readonly borrower: typeof shares[number], readonly share: number }> = []
    const reading = (at: number): { monotonic: number, wall: number } => ({ monotonic: at, wall: at })
    for (const { afterMs, lender, borrower, share, replyMs, restarts } of steps) {
      now += afterMs
      if (restarts !== null) {
        shares[restarts] = createQuotaShare(INSTANCES[restarts].id, now)
        shares[restarts].update(INSTANCES)
      }
      const lent = Math.min(share, shares[lender].lendable('team', reading(now)))
      if (lender !== borrower && lent > 0) {
        shares[lender].lend('team', lent, reading(now))
        replies.push({ at: now + replyMs, askedAt: now, borrower: shares[borrower], share: lent })
      }
      for (const reply of replies.filter(({ at }) => at <= now)) {
        reply.borrower.borrow('team', reply.share, reading(reply.askedAt), reading(now))
        replies.splice(replies.indexOf(reply), 1)
      }
      const sum = shares.reduce((total, each) => total + each.held('team', reading(now)), 0)
      expect(sum).toBeLessThanOrEqual(1 + 1e-9)
    }
  }))
})

it('keeps the tokens of a grant whose lease can\'t be recorded, guarding against tokens that are lost for good', () => {
  const now = 60_000
  const team = { name: 'team', apiKeys: [], priority: 0, quota: { ratePerSecond: 1_000, burst: 1_000 }, homeRegions: [] }
  const quota = createQuotaExchange({ self: 'a', limits: { windowMs: 5_000, overshoot: 0.1, slack: 20 }, startedAt: 0, readWall: () => now })
  quota.updateTeams([team], 0)
  quota.updateInstances([{ id: 'a', weight: 1 }, { id: 'b', weight: 9 }], 0)
  while (quota.tryAcquire(team, now).admitted);
  const at = { monotonic: now, wall: now }
  for (let count = 0; count < 64; count += 1) quota.recordGrants([['team', 0.001, 0]], at, now)
  quota.recordGrants([['team', 0.001, 5]], at, now)
  expect(quota.tryAcquire(team, now).admitted).toBe(true)
})
