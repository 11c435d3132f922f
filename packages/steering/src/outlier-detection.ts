/**
 * Outlier detection: marks an upstream as suspect after failed attempts and clears the mark after a successful health
 * probe. Suspect upstreams get requests only if a service has no other. The answer to a probe also states the remaining
 * cold time, so the rate limit for cold upstreams applies to an upstream as soon as it is used again.
 */
import type { SteeringCommand } from './command.js'
import type { Upstream } from './upstream.js'

/** Failure score at which an upstream becomes suspect. One reset does not suffice: it may have cost only that answer. */
const SUSPECT_SCORE = 3
/** Time between two probes of a suspect upstream, in milliseconds. */
const PROBE_INTERVAL_MS = 400
/** Time between two probes of an upstream that has been suspect for a while, in milliseconds. */
const LONG_PROBE_INTERVAL_MS = 2_000
/** Time for which an upstream must have been suspect before the long probe interval applies, in milliseconds. */
const LONG_INTERVAL_AFTER_MS = 3_000

/**
 * Class of a failure. `unreachable`: an attempt ended before its first byte was written, or a probe was unhealthy, also
 * if it was answered with a bad status. `broken`: an `attempt-broken` event with the cause `reset`; its other causes do
 * not count as failures here.
 */
export type FailureKind = 'unreachable' | 'broken'

/** Amount that one failure adds to the failure score. */
const FAILURE_SCORE: { readonly [F in FailureKind]: number } = { unreachable: SUSPECT_SCORE, broken: 1 }

/** Adds a failure to the upstream's score; returns a note if the upstream becomes suspect. */
export function recordFailure (upstream: Upstream, failure: FailureKind, now: number): readonly SteeringCommand[] {
  upstream.failureScore += FAILURE_SCORE[failure]
  if (upstream.failureScore < SUSPECT_SCORE || upstream.suspectSince !== undefined) return []
  upstream.suspectSince = now
  upstream.nextProbeAt = now
  return [{ type: 'note', subject: 'upstream-suspect', id: upstream.id, detail: failure }]
}

/** Called after each answer, which shows that the upstream is reachable. It stays suspect until a probe succeeds. */
export function resetFailureScore (upstream: Upstream): void {
  upstream.failureScore = 0
}

/** Resets the failure score; returns a note if the upstream was suspect. */
export function restoreUpstream (upstream: Upstream, now: number): readonly SteeringCommand[] {
  upstream.failureScore = 0
  if (upstream.suspectSince === undefined) return []
  const detail = `${Math.round(now - upstream.suspectSince)} ms`
  upstream.suspectSince = undefined
  return [{ type: 'note', subject: 'upstream-restored', id: upstream.id, detail }]
}

/** Returns whether a probe of a suspect upstream is due and, if so, schedules the next one. */
export function claimDueProbe (upstream: Upstream, now: number): boolean {
  if (upstream.suspectSince === undefined || now < upstream.nextProbeAt) return false
  const long = now - upstream.suspectSince > LONG_INTERVAL_AFTER_MS
  upstream.nextProbeAt = now + (long ? LONG_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS)
  return true
}
