/**
 * Owns the table `world.attempts`. Reports the start and the end of each attempt to the upstream selector, the slot
 * limits, the peer load and the index of outstanding attempts, which saves decisions from scanning the table.
 */
import type { Attempt, Request, World } from '../tables.js'
import type { PeerLoad } from './peer-load.js'
import type { RoutingDependencies } from './routing-dependencies.js'
import type { RequestProgress } from './request-progress.js'
import { excludeTarget } from './request-progress.js'

/**
 * How an attempt ended. It did not run if it was `refused`, or `unreachable` because the connection failed before the
 * first write.
 */
export type AttemptResult = 'finished' | 'refused' | 'unreachable' | 'failed' | 'cancelled'

/** Where an attempt is sent, and whether it is a hedge. */
export interface AttemptOptions {
  readonly target: Attempt['target']
  readonly zone: string
  readonly hedge: boolean
}

/** Starts, updates and ends attempts. */
export interface AttemptTable {
  start (request: Request, progress: RequestProgress, options: AttemptOptions, now: number): Attempt
  /** Sets the state of an attempt and returns the new row; `undefined` when the attempt has ended. */
  setState (attemptId: string, state: Attempt['state']): Attempt | undefined
  /** Removes the attempt and records its result in the progress of its request. */
  end (attempt: Attempt, progress: RequestProgress, result: AttemptResult, now: number): void
}

/** The results as they are reported to the upstream selector. A failed connection counts as a failure, not as a refusal. */
const REPORTED_RESULTS = {
  finished: 'finished', refused: 'refused', unreachable: 'failed', failed: 'failed', cancelled: 'cancelled'
} as const

/** Creates the attempt table over `world.attempts`. */
export function createAttemptTable (world: World, dependencies: RoutingDependencies, peerLoad: PeerLoad): AttemptTable {
  let attemptCount = 0

  function reportEnd (attempt: Attempt, result: AttemptResult, now: number): void {
    if (attempt.target.type === 'instance') {
      const service = world.requests.get(attempt.requestId)?.service
      if (service !== undefined) peerLoad.recordEnd(attempt.target.id, service, result === 'finished')
      return
    }
    dependencies.outstandingAttempts.remove(attempt.target.id, attempt.id)
    dependencies.upstreamSelector.recordEnd(attempt.target.id, attempt.id, REPORTED_RESULTS[result], now)
    if (result === 'refused') dependencies.slotLimits.recordRefusal(attempt.target.id, now)
    if (result === 'finished') dependencies.slotLimits.recordCompletion(attempt.target.id, now)
  }

  return {
    start (request, progress, options, now) {
      attemptCount += 1
      const { target, zone, hedge } = options
      const attempt: Attempt = {
        id: `a${attemptCount}`, requestId: request.id, target, zone, startedAt: now, state: 'created', hedge
      }
      world.attempts.set(attempt.id, attempt)
      progress.openAttemptIds = [...progress.openAttemptIds, attempt.id]
      if (attempt.target.type === 'instance') {
        progress.forwards += 1
        peerLoad.recordStart(attempt.target.id, request.service)
      } else {
        progress.dispatches += 1
        dependencies.outstandingAttempts.add(attempt.target.id, attempt.id, request.length, now)
        dependencies.upstreamSelector.recordStart(attempt.target.id, attempt.id, now)
      }
      return attempt
    },
    setState (attemptId, state) {
      const attempt = world.attempts.get(attemptId)
      if (attempt === undefined) return undefined
      const updated = { ...attempt, state }
      world.attempts.set(attemptId, updated)
      return updated
    },
    end (attempt, progress, result, now) {
      world.attempts.delete(attempt.id)
      progress.openAttemptIds = progress.openAttemptIds.filter(id => id !== attempt.id)
      progress.endedAttempts.push({ target: attempt.target.id, zone: attempt.zone, end: result })
      const refused = result === 'refused' || result === 'unreachable'
      if (!refused && (attempt.state !== 'created' || result === 'failed')) progress.possiblyRun = true
      // A failed connection does not count as a dispatch: it put no load on the upstream, and a request that happens to
      // probe a dead upstream must not run out of dispatches.
      if (result === 'unreachable' && attempt.target.type === 'upstream') progress.dispatches -= 1
      if (refused || result === 'failed') excludeTarget(progress, attempt.target.id)
      reportEnd(attempt, result, now)
    }
  }
}
