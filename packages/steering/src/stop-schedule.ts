/**
 * Phases of a graceful shutdown. Callers keep using a cached directory answer for a while, so a stopping instance goes
 * on serving while the directory no longer lists it, then asks callers to close their connections, and ends once no
 * request is in flight. A request that could outlast the process is refused, so that its caller can send it elsewhere.
 */

export type StopPhase = 'serving' | 'leaving' | 'closing' | 'ended'

/** Limits on the requests that a stopping instance takes. Times are on the monotonic clock. */
export interface StopLimits {
  /** Time from which each request that is taken must be able to end before the process does. */
  readonly guaranteedFrom: number
  /** Time at which the process ends in any case. */
  readonly endsAt: number
}

export interface StopSchedule {
  /** Begins the shutdown; a later call changes nothing. */
  readonly begin: (now: number) => StopLimits
  readonly phase: (now: number, inFlight: number) => StopPhase
  /** Longest duration of the phase `closing`, in milliseconds. */
  readonly maxClosingMs: number
  /** Time until the process ends in any case, in milliseconds; infinite before the shutdown begins. */
  readonly remainingMs: (now: number) => number
}

/** Share of the grace period in which connections are kept as usual: callers cache directory answers for some seconds. */
const LEAVE_AFTER_SHARE = 0.25
/** Share of the grace period after which no new connection is accepted and new requests are refused. */
const CLOSE_AFTER_SHARE = 0.55
/**
 * Share of the grace period, and a limit in milliseconds, after which a request is taken only if its time is up before the
 * process ends. Until then an answer that is expected in time is enough: callers are told late that the instance stops.
 */
const GUARANTEED_AFTER_SHARE = 0.4
const MAX_UNGUARANTEED_MS = 2_500
/** Time before the end of the grace period at which the process ends in any case, in milliseconds. */
const RESERVE_MS = 400

export function createStopSchedule (graceMs: number): StopSchedule {
  let begunAt: number | undefined
  const guaranteedAfterMs = Math.min(graceMs * GUARANTEED_AFTER_SHARE, MAX_UNGUARANTEED_MS)
  const leaveAfterMs = Math.min(graceMs * LEAVE_AFTER_SHARE, guaranteedAfterMs)
  return {
    maxClosingMs: Math.max(0, graceMs * (1 - CLOSE_AFTER_SHARE) - RESERVE_MS),
    begin: now => {
      begunAt ??= now
      return { guaranteedFrom: begunAt + guaranteedAfterMs, endsAt: begunAt + graceMs - RESERVE_MS }
    },
    remainingMs: now => begunAt === undefined ? Infinity : Math.max(0, begunAt + graceMs - RESERVE_MS - now),
    phase: (now, inFlight) => {
      if (begunAt === undefined) return 'serving'
      const elapsed = now - begunAt
      if (elapsed >= graceMs - RESERVE_MS) return 'ended'
      if (elapsed >= graceMs * CLOSE_AFTER_SHARE) return inFlight === 0 ? 'ended' : 'closing'
      return elapsed >= leaveAfterMs ? 'leaving' : 'serving'
    }
  }
}
