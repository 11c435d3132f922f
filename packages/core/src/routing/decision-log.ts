/**
 * Keeps the decisions on the newest requests, for `explain`.
 */
import type { Decision } from '../create-engine.js'

export const MAX_DECISIONS = 1_000

/** A ring buffer of decisions with access by request id. */
export interface DecisionLog {
  record (decision: Decision): void
  findByRequest (requestId: string): Decision | undefined
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
    findByRequest: requestId => byRequest.get(requestId)
  }
}
