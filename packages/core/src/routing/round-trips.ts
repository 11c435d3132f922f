/**
 * Round-trip estimates to other zones, from forwarded attempts.
 */

/** How far a zone is from the own one. */
export type Distance = 'zone' | 'region' | 'elsewhere'

/** First estimates in milliseconds; inside a region twice the larger one-way delay of the known installations. */
const INITIAL_ROUND_TRIP_MS: { readonly [D in Distance]: number } = { zone: 1, region: 3, elsewhere: 50 }
/** Weight of a new observation. */
const OBSERVATION_WEIGHT = 0.1

/** Round-trip estimates by zone. */
export interface RoundTrips {
  estimateMs (zone: string, distance: Distance): number
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
