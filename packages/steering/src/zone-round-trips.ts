/**
 * Round-trip times to availability zones, measured by connection handshakes.
 */

export interface ZoneRoundTrips {
  /** Round-trip time in milliseconds. */
  readonly roundTripMs: (zone: string, region: string) => number
  /** Adds the duration of a handshake. */
  readonly record: (zone: string, roundTripMs: number) => void
}

/** Round-trip times that are assumed before the first handshake, in milliseconds. */
const INITIAL_ROUND_TRIP_MS = { zone: 1, region: 3, elsewhere: 60 } as const
/** Weight of a slower handshake in the smoothed round-trip time. */
const SMOOTHING = 0.2

export function createZoneRoundTrips (own: { readonly zone: string, readonly region: string }): ZoneRoundTrips {
  const measured = new Map<string, number>()
  return {
    roundTripMs: (zone, region) => measured.get(zone) ??
      (zone === own.zone ? INITIAL_ROUND_TRIP_MS.zone : region === own.region ? INITIAL_ROUND_TRIP_MS.region : INITIAL_ROUND_TRIP_MS.elsewhere),
    record: (zone, roundTripMs) => {
      const known = measured.get(zone)
      // A handshake is never faster than the network, so a shorter time replaces the smoothed one.
      if (known === undefined || roundTripMs < known) measured.set(zone, roundTripMs)
      else measured.set(zone, known + SMOOTHING * (Math.min(roundTripMs, 2 * known + 1) - known))
    }
  }
}
