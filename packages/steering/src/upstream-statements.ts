/**
 * Records what an upstream says of itself in its answers: its load, the requests that it takes from all instances together,
 * that it is leaving, and for how long it wants no requests from this instance.
 */
import type { Note } from './command.js'
import type { RequestLimit } from './request-limit.js'
import type { LoadReport, Upstream } from './upstream.js'
import type { UpstreamTable } from './upstream-table.js'
import { recordLoadReport } from './load-estimate.js'

/** What one answer of an upstream states. */
export interface UpstreamStatements {
  readonly load?: LoadReport
  /** Requests per second that the upstream takes from all instances together; absent without a limit. */
  readonly requestLimit?: number
  /** The upstream is about to end and wants no new requests. */
  readonly isLeaving?: boolean
  /** Time for which the upstream wants no requests from this instance, in milliseconds. */
  readonly pauseMs?: number
}

export interface StatementRecorder {
  /** Records what an answer to a request states; returns notes of what has changed. */
  readonly record: (upstream: Upstream, statements: UpstreamStatements, now: number) => readonly Note[]
  /** Records what the answer to a probe states. The limit on requests is left to their answers. */
  readonly recordProbe: (upstream: Upstream, statements: UpstreamStatements, now: number) => readonly Note[]
  /** Records that the upstream is leaving. */
  readonly recordLeaving: (upstream: Upstream) => readonly Note[]
}

/** Longest pause that an upstream is granted, in milliseconds; a longer one would outlast a registration. */
export const MAX_PAUSE_MS = 60_000

export function createStatementRecorder (upstreams: UpstreamTable, requestLimit: RequestLimit): StatementRecorder {
  function recordLeaving (upstream: Upstream): readonly Note[] {
    return upstreams.markLeaving(upstream) ? [{ type: 'note', subject: 'upstream-leaving', id: upstream.id, detail: 'said so in an answer' }] : []
  }

  function recordRequestLimit (upstream: Upstream, perSecond: number | undefined, now: number): readonly Note[] {
    if (!requestLimit.recordStatement(upstream, perSecond, now)) return []
    return [{ type: 'note', subject: 'upstream-limited', id: upstream.id, detail: perSecond === undefined ? 'no limit' : `${perSecond} requests per second` }]
  }

  function recordPause (upstream: Upstream, pauseMs: number, now: number): readonly Note[] {
    const isNew = upstream.pausedUntil <= now
    if (pauseMs <= 0) return []
    upstreams.markPaused(upstream, now + Math.min(pauseMs, MAX_PAUSE_MS))
    if (!isNew) return []
    const bound = pauseMs > MAX_PAUSE_MS ? `, bounded to ${MAX_PAUSE_MS} ms` : ''
    return [{ type: 'note', subject: 'upstream-paused', id: upstream.id, detail: `wants no requests for ${Math.round(pauseMs)} ms${bound}` }]
  }

  function recordProbe (upstream: Upstream, { load, isLeaving = false, pauseMs }: UpstreamStatements, now: number): readonly Note[] {
    if (load !== undefined) recordLoadReport(upstream, load, now)
    return [...(isLeaving ? recordLeaving(upstream) : []), ...(pauseMs === undefined ? [] : recordPause(upstream, pauseMs, now))]
  }

  return {
    record: (upstream, statements, now) => [...recordRequestLimit(upstream, statements.requestLimit, now), ...recordProbe(upstream, statements, now)],
    recordProbe,
    recordLeaving
  }
}
