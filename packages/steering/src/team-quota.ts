/**
 * Limit on the requests of each team.
 */
import type { Team } from './deployment.js'

export interface TeamQuota {
  /** Takes one request of the team's quota at this instance. */
  readonly tryAcquire: (team: Team, now: number) => { readonly admitted: boolean, readonly retryAfterMs: number }
  /** Returns the request's token; called if the request is refused without having run. */
  readonly giveBack: (team: Team, now: number) => void
}

const ADMITTED = { admitted: true, retryAfterMs: 0 } as const

/** Creates a quota that admits every request. */
export function createUnlimitedQuota (): TeamQuota {
  return { tryAcquire: () => ADMITTED, giveBack: () => {} }
}
