/**
 * Divides a region's requests for a service over the regions that run it. A region keeps what its own upstreams can
 * carry, which saves its callers a long round trip and the links between regions their bytes; the rest goes to the
 * regions with more slots than their own callers need. All instances compute the same shares from the registry, and the
 * shares follow slots and not load, so that a change of traffic moves nothing from one region to another.
 */

/** Share by region, from 0 to 1, in a fixed order that begins with the own region. */
export type RegionShares = ReadonlyArray<{ readonly region: string, readonly share: number }>

/**
 * Shares of the requests of `own`. `slots` holds the slots of each region that may serve; `callerRegions` are the
 * regions with callers, which are taken to send equally much.
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

/** The region at a point from 0 to 1 of the shares. */
export function regionAt (shares: RegionShares, point: number): string | undefined {
  let bound = 0
  for (const { region, share } of shares) {
    bound += share
    if (point < bound) return region
  }
  return shares.findLast(({ share }) => share > 0)?.region
}
