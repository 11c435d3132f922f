/**
 * Owns the attempts table. Keeps the index of outstanding attempts, so that no decision scans the table, and reports starts and ends to the upstream selector and the slot limits.
 */
import type { Attempt, Request, World } from '../tables.js'
import type { PeerLoad } from './peer-load.js'
import type { RoutingParts } from './routing-parts.js'
import type { Progress } from './progress.js'
import { exclude } from './progress.js'

/** How an attempt ended. `unreachable`: refused because the connection failed before the first write. */
export type AttemptEnd = 'finished' | 'refused' | 'unreachable' | 'failed' | 'cancelled'

/** Where an attempt is sent. */
export interface AttemptStart {
  readonly target: Attempt['target']
  readonly zone: string
  readonly hedge: boolean
}

/** The attempts table and its index. */
export interface AttemptTable {
  start (request: Request, progress: Progress, start: AttemptStart, now: number): Attempt
  /** Replaces the state; `undefined` when the attempt has ended. */
  advance (attemptId: string, state: Attempt['state']): Attempt | undefined
  /** Removes the attempt and records its end in the progress. */
  end (attempt: Attempt, progress: Progress, ended: AttemptEnd, now: number): void
}

/** A connection failure counts as a failure of the upstream, not as load that it shed. */
const SELECTOR_END = {
  finished: 'finished', refused: 'refused', unreachable: 'failed', failed: 'failed', cancelled: 'cancelled'
} as const

/** Creates the owner of `world.attempts`. */
export function createAttemptTable (world: World, parts: RoutingParts, peers: PeerLoad): AttemptTable {
  let created = 0

  function reportEnd (attempt: Attempt, ended: AttemptEnd, now: number): void {
    if (attempt.target.type === 'instance') {
      const service = world.requests.get(attempt.requestId)?.service
      if (service !== undefined) peers.recordEnd(attempt.target.id, service, ended === 'finished')
      return
    }
    parts.outstanding.remove(attempt.target.id, attempt.id)
    parts.upstreams.recordEnd(attempt.target.id, attempt.id, SELECTOR_END[ended], now)
    if (ended === 'refused') parts.slots.recordRefusal(attempt.target.id, now)
    if (ended === 'finished') parts.slots.recordCompletion(attempt.target.id, now)
  }

  return {
    start (request, progress, start, now) {
      created += 1
      const { target, zone, hedge } = start
      const attempt: Attempt = {
        id: `a${created}`, requestId: request.id, target, zone, startedAt: now, state: 'created', hedge
      }
      world.attempts.set(attempt.id, attempt)
      progress.open = [...progress.open, attempt.id]
      if (attempt.target.type === 'instance') {
        progress.forwards += 1
        peers.recordStart(attempt.target.id, request.service)
      } else {
        progress.dispatches += 1
        parts.outstanding.add(attempt.target.id, attempt.id, request.length, now)
        parts.upstreams.recordStart(attempt.target.id, attempt.id, now)
      }
      return attempt
    },
    advance (attemptId, state) {
      const attempt = world.attempts.get(attemptId)
      if (attempt === undefined) return undefined
      const advanced = { ...attempt, state }
      world.attempts.set(attemptId, advanced)
      return advanced
    },
    end (attempt, progress, ended, now) {
      world.attempts.delete(attempt.id)
      progress.open = progress.open.filter(id => id !== attempt.id)
      progress.ended.push({ target: attempt.target.id, zone: attempt.zone, end: ended })
      const refused = ended === 'refused' || ended === 'unreachable'
      if (!refused && (attempt.state !== 'created' || ended === 'failed')) progress.possiblyRun = true
      // It cost the upstream nothing. A request that probes a dead upstream must not lose its place for that.
      if (ended === 'unreachable' && attempt.target.type === 'upstream') progress.dispatches -= 1
      if (refused || ended === 'failed') exclude(progress, attempt.target.id)
      reportEnd(attempt, ended, now)
    }
  }
}
