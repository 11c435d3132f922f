/**
 * Creates the answers that an entry instance itself gives, with their HTTP status and retry advice.
 */
import type { Respond } from '../command.js'
import type { Outcome, Reason } from '../reason.js'

const STATUS_BY_OUTCOME: { readonly [O in Outcome]: number } = { served: 200, 'not-run': 503, unknown: 502 }

const STATUS_BY_REASON: { readonly [R in Reason]?: number } = {
  'deadline-passed': 504,
  'request-malformed': 400,
  'request-too-large': 413,
  'key-required': 400
}

/** Advised wait before a retry after a transient refusal: one heartbeat period. */
const RETRY_AFTER_MS = 1_000

const TRANSIENT_REASONS: ReadonlySet<Reason> = new Set([
  'no-capacity', 'queue-full', 'shift-cap', 'link-budget', 'retry-budget', 'instance-stopping', 'no-configuration'
])

/** Creates the `respond` command for an outcome and its reason. */
export function createRespond (requestId: string, outcome: Outcome, reason: Reason): Respond {
  const status = STATUS_BY_REASON[reason] ?? STATUS_BY_OUTCOME[outcome]
  const answer: Respond = { type: 'respond', requestId, outcome, reason, status }
  return outcome === 'not-run' && TRANSIENT_REASONS.has(reason) ? { ...answer, retryAfterMs: RETRY_AFTER_MS } : answer
}
