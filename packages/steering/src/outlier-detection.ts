/**
 * Decides from the ends of attempts when an upstream is taken out of use, and from health probes when it comes back.
 * A probe also tells whether the upstream has become cold, so an upstream returns with its cold limit in force.
 */
import type { SteeringCommand } from './command.js'
import type { Upstream } from './upstream.js'

/** Broken connections in a row that make an upstream suspect. One may be a single lost answer. */
const SUSPECT_SCORE = 3
/** Time between two probes of a suspect upstream, in milliseconds. */
const PROBE_INTERVAL_MS = 400
/** Longest time between two probes, in milliseconds. */
const LONG_PROBE_INTERVAL_MS = 2_000
/** Time without suspicion after which a probe interval starts anew, in milliseconds. */
const LONG_INTERVAL_AFTER_MS = 3_000

/** How an attempt or probe failed. */
export type FailureKind = 'unreachable' | 'broken'

const FAILURE_SCORE: { readonly [F in FailureKind]: number } = { unreachable: SUSPECT_SCORE, broken: 1 }

/** Counts a failure; returns a note when the upstream becomes suspect. */
export function recordFailure (upstream: Upstream, failure: FailureKind, now: number): readonly SteeringCommand[] {
  upstream.failureScore += FAILURE_SCORE[failure]
  if (upstream.failureScore < SUSPECT_SCORE || upstream.suspectSince !== undefined) return []
  upstream.suspectSince = now
  upstream.nextProbeAt = now
  return [{ type: 'note', subject: 'upstream-suspect', id: upstream.id, detail: failure }]
}

/** Counts an answer of the upstream itself. */
export function recordAnswer (upstream: Upstream): void {
  upstream.failureScore = 0
}

/** Takes the upstream back into use. */
export function restoreUpstream (upstream: Upstream, now: number): readonly SteeringCommand[] {
  upstream.failureScore = 0
  if (upstream.suspectSince === undefined) return []
  const detail = `${Math.round(now - upstream.suspectSince)} ms`
  upstream.suspectSince = undefined
  return [{ type: 'note', subject: 'upstream-restored', id: upstream.id, detail }]
}

/** Whether a probe is due; plans the next one. */
export function claimDueProbe (upstream: Upstream, now: number): boolean {
  if (upstream.suspectSince === undefined || now < upstream.nextProbeAt) return false
  const long = now - upstream.suspectSince > LONG_INTERVAL_AFTER_MS
  upstream.nextProbeAt = now + (long ? LONG_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS)
  return true
}
