/**
 * Splits the requests of a route over its parts by weight. All requests for an object go to one part, so that only one
 * service caches its data. A request goes to another part only if the measured shares differ too much from the weights,
 * which happens when a few objects cause much of the traffic.
 */
import { hash32 } from '@arbutustray/core'
import type { Route } from './deployment.js'

export interface TrafficSplit {
  /** Chooses the service for a request and counts the request for it. */
  readonly choose: (route: Route, objectKey: string | undefined) => string
}

/** Excess of a part's share over its weight above which its requests go to another part; well within a tolerance of 0.1. */
const MAX_EXCESS_SHARE = 0.04
/** Number of requests at which the counts are halved, so that the shares are those of recent traffic. */
const WINDOW_REQUESTS = 200
/** Number of requests below which excess shares are ignored. */
const MIN_REQUESTS = 12
const HASH_RANGE = 2 ** 32

interface RouteCounts {
  /** The route's weights as text; the counts start anew when it changes. */
  readonly weightsKey: string
  readonly counts: number[]
  total: number
}

export function createTrafficSplit (): TrafficSplit {
  const countsByRoute = new Map<string, RouteCounts>()

  function countsOf (route: Route): RouteCounts {
    const weights = route.parts.map(part => `${part.service}=${part.weight}`).join()
    let found = countsByRoute.get(route.name)
    if (found?.weightsKey !== weights) {
      found = { weightsKey: weights, counts: route.parts.map(() => 0), total: 0 }
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
      // Share minus weight of each part; the current request is counted for the parts in proportion to their weights.
      const excessShares = parts.map((part, index) => (state.counts[index] + (part.weight / sum)) / (state.total + 1) - part.weight / sum)
      let chosen = excessShares.indexOf(Math.min(...excessShares))
      if (objectKey !== undefined) {
        const keyPart = partIndexOfKey(route, objectKey, sum)
        if (state.total < MIN_REQUESTS || excessShares[keyPart] <= MAX_EXCESS_SHARE) chosen = keyPart
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
