/**
 * Outlier detection: marks an upstream as suspect after failed attempts and clears the mark after a successful health
 * probe. Suspect upstreams get requests only if a service has no other. The answer to a probe also states the remaining
 * cold time, so the rate limit for cold upstreams applies to an upstream as soon as it is used again.
 */
import type { SteeringCommand } from './command.js'
import type { Upstream } from './upstream.js'
import type { UpstreamTable } from './upstream-table.js'

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

export interface OutlierDetection {
  /** Adds a failure to the upstream's score; returns a note if the upstream becomes suspect. */
  readonly recordFailure: (upstream: Upstream, failure: FailureKind, now: number) => readonly SteeringCommand[]
  /** Called after each answer, which shows that the upstream is reachable. It stays suspect until a probe succeeds. */
  readonly resetFailureScore: (upstream: Upstream) => void
  /** Resets the failure score; returns a note if the upstream was suspect. */
  readonly restore: (upstream: Upstream, now: number) => readonly SteeringCommand[]
  /** The suspect upstreams whose next probe is due, none in a pause that it asked for; schedules the one after it. */
  readonly claimDueProbes: (now: number) => readonly Upstream[]
}

export function createOutlierDetection (upstreams: Pick<UpstreamTable, 'get'>): OutlierDetection {
  const suspects = new Set<Upstream>()

  return {
    recordFailure: (upstream, failure, now) => {
      upstream.failureScore += FAILURE_SCORE[failure]
      if (upstream.failureScore < SUSPECT_SCORE || upstream.suspectSince !== undefined) return []
      upstream.suspectSince = now
      upstream.nextProbeAt = now
      suspects.add(upstream)
      return [{ type: 'note', subject: 'upstream-suspect', id: upstream.id, detail: failure }]
    },
    resetFailureScore: upstream => { upstream.failureScore = 0 },
    restore: (upstream, now) => {
      upstream.failureScore = 0
      suspects.delete(upstream)
      if (upstream.suspectSince === undefined) return []
      const detail = `${Math.round(now - upstream.suspectSince)} ms`
      upstream.suspectSince = undefined
      return [{ type: 'note', subject: 'upstream-restored', id: upstream.id, detail }]
    },
    claimDueProbes: now => {
      const due: Upstream[] = []
      for (const upstream of suspects) {
        const { id, suspectSince, nextProbeAt, pausedUntil } = upstream
        // A removed upstream, or one whose process was replaced, is no longer probed.
        if (suspectSince === undefined || upstreams.get(id) !== upstream) suspects.delete(upstream)
        else if (now >= Math.max(nextProbeAt, pausedUntil)) {
          upstream.nextProbeAt = now + (now - suspectSince > LONG_INTERVAL_AFTER_MS ? LONG_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS)
          due.push(upstream)
        }
      }
      return due
    }
  }
}
