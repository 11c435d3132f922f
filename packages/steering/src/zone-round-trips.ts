/**
 * Round-trip times to availability zones, learned from handshakes.
 */

export interface ZoneRoundTrips {
  /** Round trip in milliseconds. */
  readonly roundTripMs: (zone: string, region: string) => number
  readonly record: (zone: string, roundTripMs: number) => void
}

/** Round trips in milliseconds that are assumed before the first handshake. */
const INITIAL_ROUND_TRIP_MS = { zone: 1, region: 3, elsewhere: 60 } as const
const SMOOTHING = 0.2

export function createZoneRoundTrips (own: { readonly zone: string, readonly region: string }): ZoneRoundTrips {
  const measured = new Map<string, number>()
  return {
    roundTripMs: (zone, region) => measured.get(zone) ??
      (zone === own.zone ? INITIAL_ROUND_TRIP_MS.zone : region === own.region ? INITIAL_ROUND_TRIP_MS.region : INITIAL_ROUND_TRIP_MS.elsewhere),
    record: (zone, roundTripMs) => {
      const known = measured.get(zone)
      // A handshake can't be faster than the network, only slower.
      if (known === undefined || roundTripMs < known) measured.set(zone, roundTripMs)
      else measured.set(zone, known + SMOOTHING * (Math.min(roundTripMs, 2 * known + 1) - known))
    }
  }
}
