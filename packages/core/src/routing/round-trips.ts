/**
 * Round-trip estimates to other zones, from forwarded attempts.
 */

/** First estimate inside a region, in milliseconds: twice the larger one-way delay of the known installations. */
const SAME_REGION_MS = 3
/** First estimate between regions, in milliseconds. */
const OTHER_REGION_MS = 50
/** Weight of a new observation. */
const WEIGHT = 0.1

/** Round-trip estimates by zone. */
export interface RoundTrips {
  estimateMs (zone: string, sameRegion: boolean): number
  observe (zone: string, ms: number, sameRegion: boolean): void
}

/** Creates estimates without observations. */
export function createRoundTrips (): RoundTrips {
  const estimates = new Map<string, number>()
  const estimateMs = (zone: string, sameRegion: boolean): number =>
    estimates.get(zone) ?? (sameRegion ? SAME_REGION_MS : OTHER_REGION_MS)
  return {
    estimateMs,
    observe (zone, ms, sameRegion) {
      const estimate = estimateMs(zone, sameRegion)
      estimates.set(zone, estimate + WEIGHT * (Math.max(0, ms) - estimate))
    }
  }
}
