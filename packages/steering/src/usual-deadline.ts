/**
 * Learns which deadline the callers of each route usually state. A caller that retries after a refusal has less time
 * left, so a request with a shorter deadline is probably a retry.
 */

export interface UsualDeadline {
  /** Updates the usual deadline of the route. Returns whether the stated one is shorter than the usual one was before. */
  readonly recordAndCompare: (route: string, deadlineMs: number | undefined) => boolean
}

/** Difference above which a deadline counts as shorter, in milliseconds: more than the transit time of a request. */
const TOLERANCE_MS = 100
/** Weight with which shorter deadlines lower the usual one, in case callers state shorter ones from now on. */
const LOWERING_WEIGHT = 0.001

export function createUsualDeadline (): UsualDeadline {
  const usual = new Map<string, number>()
  return {
    recordAndCompare: (route, deadlineMs) => {
      if (deadlineMs === undefined) return false
      const known = usual.get(route) ?? deadlineMs
      usual.set(route, deadlineMs >= known ? deadlineMs : known - (known - deadlineMs) * LOWERING_WEIGHT)
      return deadlineMs < known - TOLERANCE_MS
    }
  }
}
