/**
 * Divides a region's requests for a service over the regions that run the service. A region keeps as many as its own
 * upstreams can handle, which avoids long round trips and traffic on the links between regions; the rest goes to
 * regions with more slots than their own callers need. All instances compute the same shares from the registry. The shares
 * depend on slots and not on load, so that a change of traffic moves no objects between regions.
 */

/** Share of each region, from 0 to 1: the own region first, the others sorted by name. */
export type RegionShares = ReadonlyArray<{ readonly region: string, readonly share: number }>

/**
 * Shares of the requests from callers in region `own`. `slots` holds the slots of each region that may serve them;
 * `callerRegions` are the regions with callers, which are assumed to send equally many requests.
 */
export function computeRegionShares (own: string, slots: ReadonlyMap<string, number>, callerRegions: readonly string[]): RegionShares {
  const total = [...slots.values()].reduce((sum, count) => sum + count, 0)
  if (total === 0) return []
  const need = total / Math.max(1, callerRegions.length)
  const kept = Math.min(1, (slots.get(own) ?? 0) / need)
  const others = [...slots.keys()].filter(region => region !== own).sort()
  const spareSlots = others.map(region => Math.max(0, (slots.get(region) ?? 0) - (callerRegions.includes(region) ? need : 0)))
  const sum = spareSlots.reduce((all, count) => all + count, 0)
  return [
    { region: own, share: kept },
    ...others.map((region, index) => ({ region, share: sum === 0 ? 0 : (1 - kept) * spareSlots[index] / sum }))
  ]
}

/** Returns the region into whose share a point from 0 to 1 falls. */
export function regionAt (shares: RegionShares, point: number): string | undefined {
  let bound = 0
  for (const { region, share } of shares) {
    bound += share
    if (point < bound) return region
  }
  return shares.findLast(({ share }) => share > 0)?.region
}
