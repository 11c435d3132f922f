/**
 * Estimates the round-trip time to each zone as a moving average over forwarded attempts.
 */

/** How far a zone is from this instance's zone: the same, another of the region, or another region. */
export type Distance = 'zone' | 'region' | 'elsewhere'

/** Estimates before the first observation. `region` is twice the largest one-way delay of the known installations. */
const INITIAL_ROUND_TRIP_MS: { readonly [D in Distance]: number } = { zone: 1, region: 3, elsewhere: 50 }
/** Weight of a new observation in the moving average. */
const OBSERVATION_WEIGHT = 0.1

/** Estimates of the round-trip time by zone. */
export interface RoundTrips {
  estimateMs (zone: string, distance: Distance): number
  /** Updates the estimate with an observed round-trip time. */
  observe (zone: string, ms: number, distance: Distance): void
}

/** Creates estimates without observations. */
export function createRoundTrips (): RoundTrips {
  const estimates = new Map<string, number>()
  const estimateMs = (zone: string, distance: Distance): number =>
    estimates.get(zone) ?? INITIAL_ROUND_TRIP_MS[distance]
  return {
    estimateMs,
    observe (zone, ms, distance) {
      const estimate = estimateMs(zone, distance)
      estimates.set(zone, estimate + OBSERVATION_WEIGHT * (Math.max(0, ms) - estimate))
    }
  }
}
