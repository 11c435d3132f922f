/**
 * Limits how fast the share of requests that are moved to another region rises and falls. A request is moved if it goes
 * to the second candidate's region instead of the region of the first usable candidate.
 *
 * While all upstreams are cold, or during a burst, most objects would for a short time be served sooner in another
 * region. Following every such preference moves a large part of a region's traffic back and forth. The allowed share of
 * moved requests therefore approaches the share that placement prefers to move, by a limited amount per second.
 *
 * This is not core's shift limiter, which serves the engine of the core package.
 */

/**
 * Placement's preference for one request. A request with `stay` may still be moved so that the share falls no faster
 * than allowed; one with `must-stay` is never moved.
 */
export type MovePreference = 'move' | 'stay' | 'must-stay'

export interface RegionShiftLimit {
  /** Decides whether a request is sent to another region, and counts it. */
  readonly shouldMove: (service: string, preference: MovePreference, now: number) => boolean
}

/** Largest change of the allowed share in a second. */
const MAX_SHARE_CHANGE_PER_SECOND = 0.03
/** Time over which shares are smoothed, in milliseconds. Also the longest time between two requests that is counted. */
const SMOOTHING_MS = 1_000
/**
 * Share that may always move, so that single requests can avoid a slow upstream. Also the tolerance around the allowed
 * share: requests with `move` may exceed it by half of this, and those with `stay` move only if it is missed by more.
 */
const ALWAYS_ALLOWED_SHARE = 0.03

interface ServiceState {
  /** Smoothed share that placement prefers to move. */
  preferred: number
  /** Smoothed share that was moved. */
  moved: number
  /** Share that may be moved now. */
  allowed: number
  updatedAt: number
  /** Smoothed time between two requests, in milliseconds. */
  requestIntervalMs: number
}

const MAY_MOVE: { readonly [P in MovePreference]: (state: ServiceState) => boolean } = {
  move: ({ moved, allowed }) => moved < Math.max(ALWAYS_ALLOWED_SHARE, allowed + ALWAYS_ALLOWED_SHARE / 2),
  stay: ({ moved, allowed }) => moved < allowed - ALWAYS_ALLOWED_SHARE,
  'must-stay': () => false
}

export function createRegionShiftLimit (): RegionShiftLimit {
  const states = new Map<string, ServiceState>()

  function advance (state: ServiceState, now: number): void {
    const elapsed = Math.min(SMOOTHING_MS, Math.max(0, now - state.updatedAt))
    state.updatedAt = now
    state.requestIntervalMs += 0.1 * (elapsed - state.requestIntervalMs)
    const step = MAX_SHARE_CHANGE_PER_SECOND * elapsed / 1_000
    state.allowed += Math.min(step, Math.max(-step, state.preferred - state.allowed))
  }

  return {
    shouldMove: (service, preference, now) => {
      let state = states.get(service)
      if (state === undefined) {
        state = { preferred: 0, moved: 0, allowed: 0, updatedAt: now, requestIntervalMs: 10 }
        states.set(service, state)
      }
      advance(state, now)
      // Averages the shares over about `SMOOTHING_MS` at the current request rate. The limits on the weight apply to very
      // rare and very frequent requests.
      const weight = Math.min(0.2, Math.max(0.002, state.requestIntervalMs / SMOOTHING_MS))
      const moves = MAY_MOVE[preference](state)
      state.preferred += weight * (Number(preference === 'move') - state.preferred)
      state.moved += weight * (Number(moves) - state.moved)
      return moves
    }
  }
}
