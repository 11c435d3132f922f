/**
 * Owns the attempts table. Keeps the index of outstanding attempts, so that no decision scans the table, and reports starts and ends to the upstream selector and the slot limits.
 */
import type { Attempt, Request, World } from '../tables.js'
import type { PeerLoad } from './peer-load.js'
import type { RoutingDependencies } from './routing-dependencies.js'
import type { RequestProgress } from './request-progress.js'
import { excludeTarget } from './request-progress.js'

/** How an attempt ended. `unreachable`: refused because the connection failed before the first write. */
export type AttemptResult = 'finished' | 'refused' | 'unreachable' | 'failed' | 'cancelled'

/** Where an attempt is sent. */
export interface AttemptOptions {
  readonly target: Attempt['target']
  readonly zone: string
  readonly hedge: boolean
}

/** The attempts table and its index. */
export interface AttemptTable {
  start (request: Request, progress: RequestProgress, options: AttemptOptions, now: number): Attempt
  /** Replaces the state; `undefined` when the attempt has ended. */
  setState (attemptId: string, state: Attempt['state']): Attempt | undefined
  /** Removes the attempt and records its end in the progress. */
  end (attempt: Attempt, progress: RequestProgress, result: AttemptResult, now: number): void
}

/** A connection failure counts as a failure of the upstream, not as load that it shed. */
const END_FOR_SELECTOR = {
  finished: 'finished', refused: 'refused', unreachable: 'failed', failed: 'failed', cancelled: 'cancelled'
} as const

/** Creates the owner of `world.attempts`. */
export function createAttemptTable (world: World, dependencies: RoutingDependencies, peerLoad: PeerLoad): AttemptTable {
  let attemptCount = 0

  function reportEnd (attempt: Attempt, result: AttemptResult, now: number): void {
    if (attempt.target.type === 'instance') {
      const service = world.requests.get(attempt.requestId)?.service
      if (service !== undefined) peerLoad.recordEnd(attempt.target.id, service, result === 'finished')
      return
    }
    dependencies.outstandingAttempts.remove(attempt.target.id, attempt.id)
    dependencies.upstreamSelector.recordEnd(attempt.target.id, attempt.id, END_FOR_SELECTOR[result], now)
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
      // It cost the upstream nothing. A request that probes a dead upstream must not lose its place for that.
      if (result === 'unreachable' && attempt.target.type === 'upstream') progress.dispatches -= 1
      if (refused || result === 'failed') excludeTarget(progress, attempt.target.id)
      reportEnd(attempt, result, now)
    }
  }
}
