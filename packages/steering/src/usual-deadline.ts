/**
 * Learns which deadline the callers of each route usually state. A caller that retries after a refusal has less time
 * left, so a shorter deadline marks its request as a retry.
 */

export interface UsualDeadline {
  /** Whether the stated deadline is shorter than usual for the route. Also updates the usual deadline. */
  readonly isShorterThanUsual: (route: string, deadlineMs: number | undefined) => boolean
}

/** Smallest difference that marks a retry, in milliseconds: more than the transit time of a request. */
const TOLERANCE_MS = 100
/** Weight with which shorter deadlines lower the usual one, in case callers state shorter ones from now on. */
const DECAY = 0.001

export function createUsualDeadline (): UsualDeadline {
  const usual = new Map<string, number>()
  return {
    isShorterThanUsual: (route, deadlineMs) => {
      if (deadlineMs === undefined) return false
      const known = usual.get(route) ?? deadlineMs
      usual.set(route, deadlineMs >= known ? deadlineMs : known - (known - deadlineMs) * DECAY)
      return deadlineMs < known - TOLERANCE_MS
    }
  }
}
