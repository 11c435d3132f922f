/**
 * The time that callers of each route usually grant. A caller that comes back after a refusal has less time left, which
 * is how its request is recognised.
 */

export interface UsualDeadline {
  /** Whether the stated time is shorter than usual. Learns from each request. */
  readonly isShorterThanUsual: (route: string, deadlineMs: number | undefined) => boolean
}

/** Difference that counts, in milliseconds: more than the way of a request takes. */
const TOLERANCE_MS = 100
/** Part of the difference by which the usual time follows shorter ones, in case callers grant less from now on. */
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
