/**
 * Quotas of teams over all instances: one token bucket for each team, divided into the shares of `quota-share.ts`. An
 * instance whose demand for a team exceeds its share or its tokens asks others; they lend a part of their share, or hand
 * over tokens that they don't need.
 *
 * The sum over all instances keeps to the bucket: the capacities of all instances together never exceed that of the whole
 * bucket, tokens are deducted before they are sent, and a part of a share that is added to an instance brings no tokens but
 * those that were sent with it.
 */
import type { Quota, Team } from './deployment.js'
import type { InstanceWeight } from './event.js'
import type { ClockReading } from './quota-share.js'
import { wallNow } from '@arbutustray/core'
import { createQuotaShare, LEASE_MS, MAX_LENT_RATIO } from './quota-share.js'

/** Admission of a request to its team's quota. */
export interface QuotaDecision {
  readonly admitted: boolean
  /** Time until the instance has a token for the team; 0 if the request is admitted. */
  readonly retryAfterMs: number
}

export interface TeamQuota {
  /** Takes one request of the team's quota at this instance. */
  readonly tryAcquire: (team: Team, now: number) => QuotaDecision
  /** Returns the request's token; called if the request is refused without having run. */
  readonly giveBack: (team: Team, now: number) => void
}

/** How the limit on a team's requests is checked over all instances together. */
export interface QuotaLimits {
  /** In each window of this length `(rate * window + burst) * (1 + overshoot) + slack` requests may run. */
  readonly windowMs: number
  readonly overshoot: number
  readonly slack: number
}

/** Share of the quota, and tokens in addition to the instance's own, that one instance asks another for. */
export type QuotaRequest = readonly [team: string, share: number, tokens: number]
/** Share of the quota that one instance lends another, and tokens that it hands over. */
export type QuotaGrant = readonly [team: string, share: number, tokens: number]

/** What an instance asks another one for. */
export interface QuotaInquiry {
  readonly peerId: string
  readonly requests: readonly QuotaRequest[]
}

export interface QuotaExchange extends TeamQuota {
  readonly updateTeams: (teams: readonly Team[], now: number) => void
  readonly updateInstances: (instances: readonly InstanceWeight[], now: number) => void
  /**
   * What this instance asks other live instances for; the shortage is divided by their base shares. Empty without a shortage.
   */
  readonly inquiries: (liveIds: readonly string[], now: number) => readonly QuotaInquiry[]
  /** Lends and hands over what this instance doesn't need; nothing to an instance that is not registered. */
  readonly grant: (peerId: string, requests: readonly QuotaRequest[], now: number) => readonly QuotaGrant[]
  /** Takes over what another instance granted in reply to a request sent at `askedAt`; returns the number of leases. */
  readonly recordGrants: (grants: readonly QuotaGrant[], askedAt: ClockReading, now: number) => number
  /** Shares of the teams for which this instance holds leases, as lender or borrower. */
  readonly leasedShares: (now: number) => ReadonlyArray<readonly [team: string, share: number]>
  /** Drops the state of teams that a new one would equal. */
  readonly prune: (now: number) => void
}

export interface QuotaExchangeOptions {
  readonly self: string
  readonly limits: QuotaLimits | undefined
  /** Start of the process, on the monotonic clock. */
  readonly startedAt: number
  readonly readWall?: () => number
}

interface Bucket {
  quota: Quota
  tokens: number
  /** Second limit on the tokens until `settledFrom`: those refilled since the start of the process. */
  earlyTokens: number
  settledAt: number
  /** Share held when the bucket was last settled. */
  held: number
  /** Average of the arrivals, in requests per second, and its time. */
  demand: number
  demandAt: number
}

/**
 * Parts of the slack and of the overshoot that the bucket's capacity includes. The rest covers requests that run up to some
 * hundred milliseconds after they were admitted, and changes of the instances that reach them at different times.
 */
const USED_SLACK = 0.9
const USED_OVERSHOOT = 0.3
/**
 * Parts of the slack and of the overshoot that a process has as tokens when it starts. Without them, a restart of all instances
 * leaves small teams, whose tokens are refilled at less than one in a window, refused for seconds.
 */
const RESTART_SLACK = 0.7
const RESTART_OVERSHOOT = 0.5
const DEFAULT_LIMITS: QuotaLimits = { windowMs: 5_000, overshoot: 0, slack: 0 }
/** Time over which demand is averaged, in milliseconds. */
const DEMAND_AVERAGE_MS = 3_000
/** Demand below which an instance has no use for more than one token, in requests per second. */
const MIN_DEMAND_PER_SECOND = 0.02
/** Share of the quota that an instance keeps or asks for, relative to its demand. */
const DEMAND_HEADROOM = 1.15
/**
 * Times for which an instance asks for, and keeps, the tokens of a usual variation of its demand. An instance that kept as
 * many as it asks for would seldom have any to hand over while demand is near the quota.
 */
const ASKED_RESERVE_SECONDS = 3
const KEPT_RESERVE_SECONDS = 0.5
/** An instance asks each of several others for this multiple of their part of its shortage, as not all have a surplus. */
const REQUEST_FACTOR = 2
/**
 * Tokens that a lender can hold beyond its own need after it lent a part of its share. Without this room, what is refilled
 * between two inquiries is lost.
 */
const KEPT_ROOM = 0.5
/** Limit on the instances that are asked at once. */
const MAX_LENDERS = 12
/** Base share relative to the largest below which an instance is asked only if there are too few others. */
const MIN_LENDER_RATIO = 0.25
/** Limit on the teams in one request. */
export const MAX_REQUESTED_TEAMS = 32
/** Smaller amounts are not worth the bytes that they take. */
const MIN_SHARE = 0.001
const MIN_TOKENS = 0.1
/** Amounts are rounded down to these steps before they are recorded, so that both sides count the same. */
const SHARE_STEPS = 10_000
const TOKEN_STEPS = 100
const PRUNE_INTERVAL_MS = 1_000
const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 2_000
const MS_PER_SECOND = 1_000

function roundDown (value: number, steps: number): number {
  return Math.floor(value * steps + Number.EPSILON) / steps
}

export function createQuotaExchange ({ self, limits = DEFAULT_LIMITS, startedAt, readWall = wallNow }: QuotaExchangeOptions): QuotaExchange {
  const share = createQuotaShare(self, startedAt)
  const buckets = new Map<string, Bucket>()
  let quotas: ReadonlyMap<string, Quota> = new Map()
  /**
   * After this time no window contains both a request that a predecessor of this process, or a borrower of its share, admitted
   * and one that this process admits. Until then, only tokens refilled since the start are used.
   */
  const settledFrom = startedAt + LEASE_MS + limits.windowMs
  /** Lowest base share within the last window, which the buckets of teams without recent requests start with. */
  let lowBaseShare = Infinity
  let lowBaseShareUntil = -Infinity
  let prunedAt = -Infinity
  let turn = 0

  function read (now: number): ClockReading {
    return { monotonic: now, wall: readWall() }
  }

  function capacityOf ({ burst, ratePerSecond }: Quota): number {
    const perWindow = ratePerSecond * limits.windowMs / MS_PER_SECOND + burst
    return burst + USED_SLACK * limits.slack + USED_OVERSHOOT * limits.overshoot * perWindow
  }

  /** Tokens of all instances together after a restart, beside those that are refilled. */
  function restartTokensOf ({ burst, ratePerSecond }: Quota): number {
    const perWindow = ratePerSecond * limits.windowMs / MS_PER_SECOND + burst
    return RESTART_SLACK * limits.slack + RESTART_OVERSHOOT * limits.overshoot * perWindow
  }

  function createBucket (quota: Quota, now: number): Bucket {
    const base = share.baseShare(self)
    const isSettled = now >= settledFrom
    const initial = now < lowBaseShareUntil ? Math.min(base, lowBaseShare) : base
    const held = isSettled ? base : base * (1 - MAX_LENT_RATIO)
    return { quota, tokens: initial * capacityOf(quota), earlyTokens: base * restartTokensOf(quota), settledAt: isSettled ? now : startedAt, held, demand: 0, demandAt: now }
  }

  /** Refills the bucket up to `now` and applies the current share and quota. */
  function settle (team: string, bucket: Bucket, now: number): Bucket {
    const reading = read(now)
    const held = share.held(team, reading)
    // A lease that began or ended since then counts for none of the time.
    const refill = Math.min(held, bucket.held) * bucket.quota.ratePerSecond * Math.max(0, now - bucket.settledAt) / MS_PER_SECOND
    const capacity = held * capacityOf(bucket.quota)
    bucket.earlyTokens = Math.min(capacity, bucket.earlyTokens + refill)
    // The whole base share counts while its owner uses a part: the rest may be lent by its predecessor, not by itself.
    const isUnlent = now - startedAt < LEASE_MS
    bucket.tokens = Math.min(isUnlent ? Math.max(capacity, share.baseShare(self) * capacityOf(bucket.quota)) : capacity, bucket.tokens + refill)
    bucket.settledAt = now
    bucket.held = held
    return bucket
  }

  function bucketOf (team: string, quota: Quota, now: number): Bucket {
    let bucket = buckets.get(team)
    if (bucket === undefined) buckets.set(team, bucket = createBucket(quota, now))
    settle(team, bucket, now)
    if (bucket.quota !== quota) {
      bucket.quota = quota
      settle(team, bucket, now)
    }
    return bucket
  }

  function available (bucket: Bucket, now: number): number {
    return now < settledFrom ? Math.min(bucket.tokens, bucket.earlyTokens) : bucket.tokens
  }

  function addTokens (bucket: Bucket, count: number): void {
    bucket.tokens += count
    bucket.earlyTokens += count
  }

  function demandOf (bucket: Bucket, now: number): number {
    return bucket.demand * Math.exp((bucket.demandAt - now) / DEMAND_AVERAGE_MS)
  }

  /** Tokens and share of the quota that the instance needs itself, with tokens for the variation of its demand in a time. */
  function needOf (bucket: Bucket, reserveSeconds: number, now: number): { readonly share: number, readonly tokens: number } {
    const capacity = capacityOf(bucket.quota)
    const demand = demandOf(bucket, now)
    const isIdle = demand < MIN_DEMAND_PER_SECOND
    // One token for a first request, if the instance can hold one.
    if (isIdle && share.baseShare(self) * capacity < 1) return { share: 0, tokens: 0 }
    const tokens = isIdle ? 1 : Math.min(capacity, 1 + Math.sqrt(demand * reserveSeconds))
    const rateShare = isIdle ? 0 : demand * DEMAND_HEADROOM / Math.max(bucket.quota.ratePerSecond, MIN_DEMAND_PER_SECOND)
    return { share: Math.min(1, Math.max(rateShare, tokens / Math.max(1, capacity))), tokens }
  }

  /** What the instance lacks of each team with recent requests, the largest shortages first. */
  function shortages (now: number): readonly QuotaRequest[] {
    const found: QuotaRequest[] = []
    for (const [team, bucket] of buckets) {
      if (!quotas.has(team) || demandOf(bucket, now) < MIN_DEMAND_PER_SECOND) continue
      settle(team, bucket, now)
      const need = needOf(bucket, ASKED_RESERVE_SECONDS, now)
      const missing = [team, Math.max(0, need.share - bucket.held), Math.max(0, need.tokens - available(bucket, now))] as const
      if (missing[1] >= MIN_SHARE || missing[2] >= MIN_TOKENS) found.push(missing)
    }
    return found.sort((a, b) => b[1] - a[1] || b[2] - a[2]).slice(0, MAX_REQUESTED_TEAMS)
  }

  /** The instances with the largest base shares, in turn if there are more than are asked at once. */
  function selectLenders (liveIds: readonly string[]): readonly string[] {
    const largest = Math.max(0, ...liveIds.map(share.baseShare))
    const isLarge = (id: string): boolean => share.baseShare(id) >= largest * MIN_LENDER_RATIO
    turn += 1
    return [liveIds.filter(isLarge), liveIds.filter(id => !isLarge(id))].flatMap(ids => {
      const from = ids.length === 0 ? 0 : turn * MAX_LENDERS % ids.length
      return [...ids.slice(from), ...ids.slice(0, from)]
    }).slice(0, MAX_LENDERS)
  }

  function grantOne ([team, askedShare, askedTokens]: QuotaRequest, now: number): QuotaGrant | undefined {
    const quota = quotas.get(team)
    if (quota === undefined) return undefined
    const bucket = bucketOf(team, quota, now)
    const reading = read(now)
    const need = needOf(bucket, KEPT_RESERVE_SECONDS, now)
    const ownShare = bucket.held - share.borrowed(team, reading)
    const keptShare = Math.max(need.share, (need.tokens + KEPT_ROOM) / Math.max(1, capacityOf(quota)))
    const lentShare = roundDown(Math.max(0, Math.min(askedShare, share.lendable(team, reading), ownShare - keptShare)), SHARE_STEPS)
    // Tokens above the remaining capacity would be lost here.
    const overflow = available(bucket, now) - (bucket.held - lentShare) * capacityOf(quota)
    const spareTokens = available(bucket, now) - need.tokens
    const tokens = roundDown(Math.max(0, Math.min(Math.max(askedTokens, overflow), spareTokens)), TOKEN_STEPS)
    if (lentShare < MIN_SHARE && tokens < MIN_TOKENS) return undefined
    if (lentShare > 0) share.lend(team, lentShare, reading)
    addTokens(bucket, -tokens)
    settle(team, bucket, now)
    return [team, lentShare, tokens]
  }

  return {
    tryAcquire: (team, now) => {
      const { name } = team
      const quota = quotas.get(name) ?? team.quota
      if (quota === undefined) return { admitted: true, retryAfterMs: 0 }
      const bucket = bucketOf(name, quota, now)
      bucket.demand = demandOf(bucket, now) + MS_PER_SECOND / DEMAND_AVERAGE_MS
      bucket.demandAt = now
      const missing = 1 - available(bucket, now)
      if (missing <= 0) {
        addTokens(bucket, -1)
        return { admitted: true, retryAfterMs: 0 }
      }
      const waitMs = missing * MS_PER_SECOND / (bucket.held * quota.ratePerSecond)
      return { admitted: false, retryAfterMs: Math.ceil(Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs))) }
    },
    giveBack: (team, now) => {
      const { name } = team
      const quota = quotas.get(name) ?? team.quota
      if (quota === undefined) return
      const bucket = bucketOf(name, quota, now)
      addTokens(bucket, 1)
      settle(name, bucket, now)
    },
    updateTeams: (teams, now) => {
      quotas = new Map(teams.flatMap(({ name, quota }) => quota === undefined ? [] : [[name, quota]]))
      for (const [team, bucket] of buckets) bucketOf(team, quotas.get(team) ?? bucket.quota, now)
    },
    updateInstances: (instances, now) => {
      const before = share.baseShare(self)
      for (const [team, bucket] of buckets) settle(team, bucket, now)
      share.update(instances)
      if (before > 0 && share.baseShare(self) > before) {
        lowBaseShare = now < lowBaseShareUntil ? Math.min(lowBaseShare, before) : before
        lowBaseShareUntil = now + limits.windowMs
      }
      for (const [team, bucket] of buckets) settle(team, bucket, now)
    },
    inquiries: (liveIds, now) => {
      const missing = shortages(now)
      if (missing.length === 0) return []
      const lenders = selectLenders(liveIds.filter(id => id !== self && share.includes(id)))
      const total = lenders.reduce((sum, id) => sum + share.baseShare(id), 0)
      return lenders.map(peerId => {
        const part = Math.min(1, REQUEST_FACTOR * share.baseShare(peerId) / total)
        const requests = missing.map(([team, missingShare, missingTokens]) =>
          [team, roundDown(missingShare * part, SHARE_STEPS), roundDown(missingTokens * part, TOKEN_STEPS)] as const)
        return { peerId, requests: requests.filter(([, askedShare, tokens]) => askedShare >= MIN_SHARE || tokens >= MIN_TOKENS) }
      }).filter(({ requests }) => requests.length > 0)
    },
    grant: (peerId, requests, now) => {
      if (peerId === self || !share.includes(peerId)) return []
      return requests.slice(0, MAX_REQUESTED_TEAMS).map(request => grantOne(request, now)).filter(grant => grant !== undefined)
    },
    recordGrants: (grants, askedAt, now) => {
      let leases = 0
      for (const [team, lentShare, tokens] of grants) {
        const quota = quotas.get(team)
        if (quota === undefined) continue
        const bucket = bucketOf(team, quota, now)
        const borrowed = share.borrow(team, lentShare, askedAt, read(now))
        if (borrowed === 'expired') continue
        if (borrowed === 'recorded' && lentShare > 0) leases += 1
        addTokens(bucket, tokens)
        settle(team, bucket, now)
      }
      return leases
    },
    leasedShares: now => {
      const reading = read(now)
      return [...buckets.keys()].filter(team => share.hasLeases(team, reading)).map(team => [team, share.held(team, reading)])
    },
    prune: now => {
      if (now - prunedAt < PRUNE_INTERVAL_MS) return
      prunedAt = now
      const reading = read(now)
      for (const [team, bucket] of buckets) {
        if (now < settledFrom || share.hasLeases(team, reading) || demandOf(bucket, now) >= MIN_DEMAND_PER_SECOND) continue
        settle(team, bucket, now)
        if (bucket.tokens >= share.baseShare(self) * capacityOf(bucket.quota)) buckets.delete(team)
      }
    }
  }
}
