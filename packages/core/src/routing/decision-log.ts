/**
 * Keeps the decisions on the newest requests, for `explain`.
 */
import type { RoutingDecision } from '../create-engine.js'

export const MAX_DECISIONS = 1_000

/** A ring buffer of decisions with access by request id. */
export interface DecisionLog {
  record (decision: RoutingDecision): void
  findByRequest (requestId: string): RoutingDecision | undefined
}

/** Creates an empty log. */
export function createDecisionLog (): DecisionLog {
  const ring: RoutingDecision[] = []
  const byRequest = new Map<string, RoutingDecision>()
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
