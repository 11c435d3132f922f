/**
 * The newest decisions, for `explain`.
 */
import type { Decision } from '../create-engine.js'

/** Decisions that are kept. */
export const MAX_DECISIONS = 1_000

/** A ring of decisions with access by request id. */
export interface DecisionLog {
  record (decision: Decision): void
  find (requestId: string): Decision | undefined
}

/** Creates an empty log. */
export function createDecisionLog (): DecisionLog {
  const ring: Decision[] = []
  const byRequest = new Map<string, Decision>()
  let next = 0
  return {
    record (decision) {
      const oldest = ring[next]
      if (oldest !== undefined && byRequest.get(oldest.requestId) === oldest) byRequest.delete(oldest.requestId)
      ring[next] = decision
      byRequest.set(decision.requestId, decision)
      next = (next + 1) % MAX_DECISIONS
    },
    find: requestId => byRequest.get(requestId)
  }
}
