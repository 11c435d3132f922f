/**
 * The share of the teams' quotas that this instance may use. All shares together never exceed 1, also during a network
 * partition, after a kill and while messages are delayed:
 *
 * - The base share is the instance's weight relative to that of all registered instances, also those that do not answer. The
 *   weight is the bandwidth of its link, which decides how many callers use it; see `callerWeights`.
 * - Leases move a part of a share between two instances for a limited time. The lender stops using the part at once; the
 *   borrower's lease began when it sent its request, so it ends first.
 */
import type { InstanceWeight } from './event.js'

/** Readings of both clocks at one moment, in milliseconds. */
export interface ClockReading {
  readonly monotonic: number
  readonly wall: number
}

export interface QuotaShare {
  readonly update: (instances: readonly InstanceWeight[]) => void
  readonly includes: (id: string) => boolean
  /** Base share of a registered instance; 0 for another, and until the instances are known. */
  readonly baseShare: (id: string) => number
  /** Share of the team's quota that this instance may use now. */
  readonly held: (team: string, now: ClockReading) => number
  /** Largest part of its base share that this instance may lend now. */
  readonly lendable: (team: string, now: ClockReading) => number
  readonly lend: (team: string, share: number, now: ClockReading) => void
  /** Records a part that another instance lent in reply to a request sent at `askedAt`; tells whether it has expired or can't be recorded. */
  readonly borrow: (team: string, share: number, askedAt: ClockReading, now: ClockReading) => 'recorded' | 'not-recorded' | 'expired'
  readonly borrowed: (team: string, now: ClockReading) => number
  readonly hasLeases: (team: string, now: ClockReading) => boolean
}

interface Lease { readonly share: number, readonly end: ClockReading }
interface Leases { lent: readonly Lease[], borrowed: readonly Lease[] }

/** Duration of a lease, in milliseconds. */
export const LEASE_MS = 3_000
/**
 * Largest part of the base share that is lent. A process that starts uses the rest, because it does not know what its
 * predecessor lent.
 */
export const MAX_LENT_RATIO = 0.5
/** Joint leases of a team and direction that are kept; more are refused. Each holds a reply of one poll. */
const MAX_LEASES = 64

const NO_LEASES: Leases = { lent: [], borrowed: [] }

function sumShares (leases: readonly Lease[]): number {
  let sum = 0
  for (const { share } of leases) sum += share
  return sum
}

/**
 * The lender reads only the monotonic clock, which stops while its machine is suspended: its view of a lease may be too long,
 * not too short.
 */
function isLentAt ({ end }: Lease, now: ClockReading): boolean {
  return now.monotonic < end.monotonic
}

/** The wall clock shows the time in which the machine was suspended; its jumps can only end a lease early. */
function isBorrowedAt ({ end }: Lease, now: ClockReading): boolean {
  return now.monotonic < end.monotonic && now.wall < end.wall
}

export function createQuotaShare (self: string, startedAt: number): QuotaShare {
  let weights: ReadonlyMap<string, number> = new Map()
  let totalWeight = 0
  const leasesByTeam = new Map<string, Leases>()

  function current (team: string, now: ClockReading): Leases {
    const leases = leasesByTeam.get(team)
    if (leases === undefined) return NO_LEASES
    if (!leases.lent.every(lease => isLentAt(lease, now))) leases.lent = leases.lent.filter(lease => isLentAt(lease, now))
    if (!leases.borrowed.every(lease => isBorrowedAt(lease, now))) leases.borrowed = leases.borrowed.filter(lease => isBorrowedAt(lease, now))
    if (leases.lent.length + leases.borrowed.length === 0) leasesByTeam.delete(team)
    return leases
  }

  function mutable (team: string, now: ClockReading): Leases {
    current(team, now)
    let leases = leasesByTeam.get(team)
    if (leases === undefined) leasesByTeam.set(team, leases = { ...NO_LEASES })
    return leases
  }

  function baseShare (id: string): number {
    return totalWeight > 0 ? (weights.get(id) ?? 0) / totalWeight : 0
  }

  /** Whether leases that a predecessor of this process granted may still be valid. */
  function isStarting (now: ClockReading): boolean {
    return now.monotonic - startedAt < LEASE_MS
  }

  return {
    update: instances => {
      weights = new Map(instances.map(({ id, weight }) => [id, weight]))
      totalWeight = instances.reduce((sum, { weight }) => sum + weight, 0)
    },
    includes: id => weights.has(id),
    baseShare,
    held: (team, now) => {
      const { lent, borrowed } = current(team, now)
      const own = baseShare(self) * (isStarting(now) ? 1 - MAX_LENT_RATIO : 1)
      return Math.max(0, own - sumShares(lent)) + sumShares(borrowed)
    },
    lendable: (team, now) => {
      const { lent } = current(team, now)
      return isStarting(now) || lent.length >= MAX_LEASES ? 0 : Math.max(0, baseShare(self) * MAX_LENT_RATIO - sumShares(lent))
    },
    lend: (team, share, now) => {
      const leases = mutable(team, now)
      leases.lent = [...leases.lent, { share, end: { monotonic: now.monotonic + LEASE_MS, wall: now.wall + LEASE_MS } }]
    },
    borrow: (team, share, askedAt, now) => {
      const lease = { share, end: { monotonic: askedAt.monotonic + LEASE_MS, wall: askedAt.wall + LEASE_MS } }
      const leases = mutable(team, now)
      if (!isBorrowedAt(lease, now)) return 'expired'
      if (share > 0 && leases.borrowed.length >= MAX_LEASES) return 'not-recorded'
      if (share > 0) leases.borrowed = [...leases.borrowed, lease]
      return 'recorded'
    },
    borrowed: (team, now) => sumShares(current(team, now).borrowed),
    hasLeases: (team, now) => {
      const { lent, borrowed } = current(team, now)
      return lent.length + borrowed.length > 0
    }
  }
}
