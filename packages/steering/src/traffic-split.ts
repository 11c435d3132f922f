/**
 * Splits the requests of a route over its parts by weight. All requests for an object go to one part, so that only one
 * service caches its data. A request goes to another part only if the measured shares have drifted from the weights,
 * which happens when a few objects cause much of the traffic.
 */
import { hash32 } from '@arbutustray/core'
import type { Route } from './deployment.js'

export interface TrafficSplit {
  /** Chooses the service for a request and counts the request for it. */
  readonly choose: (route: Route, objectKey: string | undefined) => string
}

/** Excess of a part's share above which requests leave their object's part: under half of a usual tolerance of 0.1. */
const MAX_DRIFT = 0.04
/** Number of requests at which the counts are halved, so that shares follow recent traffic. */
const WINDOW_REQUESTS = 200
/** Number of requests below which the drift is ignored. */
const MIN_REQUESTS = 12
const HASH_RANGE = 2 ** 32

interface RouteCounts {
  readonly weights: string
  readonly counts: number[]
  total: number
}

export function createTrafficSplit (): TrafficSplit {
  const countsByRoute = new Map<string, RouteCounts>()

  function countsOf (route: Route): RouteCounts {
    const weights = route.parts.map(part => `${part.service}=${part.weight}`).join()
    let found = countsByRoute.get(route.name)
    if (found?.weights !== weights) {
      found = { weights, counts: route.parts.map(() => 0), total: 0 }
      countsByRoute.set(route.name, found)
    }
    return found
  }

  return {
    choose: (route, objectKey) => {
      const { parts } = route
      if (parts.length === 1) return parts[0].service
      const sum = parts.reduce((total, part) => total + part.weight, 0)
      const state = countsOf(route)
      const drift = parts.map((part, index) => (state.counts[index] + (part.weight / sum)) / (state.total + 1) - part.weight / sum)
      let chosen = drift.indexOf(Math.min(...drift))
      if (objectKey !== undefined) {
        const keyPart = partIndexOfKey(route, objectKey, sum)
        if (state.total < MIN_REQUESTS || drift[keyPart] <= MAX_DRIFT) chosen = keyPart
      }
      state.counts[chosen] += 1
      state.total += 1
      if (state.total >= WINDOW_REQUESTS) {
        state.total /= 2
        state.counts.forEach((count, index) => { state.counts[index] = count / 2 })
      }
      return parts[chosen].service
    }
  }
}

/**
 * Index of the part that an object belongs to. The parts divide the range of the hash by weight, so a change of weights
 * moves only the objects between the old and the new bounds.
 */
function partIndexOfKey (route: Route, objectKey: string, sum: number): number {
  const point = hash32(`split:${objectKey}`) / HASH_RANGE * sum
  let bound = 0
  for (let index = 0; index < route.parts.length; index += 1) {
    bound += route.parts[index].weight
    if (point < bound) return index
  }
  return route.parts.length - 1
}
