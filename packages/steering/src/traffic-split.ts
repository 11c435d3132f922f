/**
 * Distributes the requests of a route over its parts by weight. An object stays with one part, so that one service
 * keeps it warm; the choice leaves that part only when the measured shares have drifted from the weights, which
 * happens when a few objects carry much of the traffic.
 */
import { hash32 } from '@arbutustray/core'
import type { Route } from './deployment.js'

export interface TrafficSplit {
  /** Service for a request, counted as sent there. */
  readonly choose: (route: Route, objectKey: string | undefined) => string
}

/** Drift of a part's share from its weight at which requests leave their object's part. Half of a usual tolerance of 0.1. */
const MAX_DRIFT = 0.04
/** Requests over which shares are measured; counts are halved beyond. */
const WINDOW_REQUESTS = 200
/** Requests before drift is judged. */
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
    const signature = route.parts.map(part => `${part.service}=${part.weight}`).join()
    let found = countsByRoute.get(route.name)
    if (found?.weights !== signature) {
      found = { weights: signature, counts: route.parts.map(() => 0), total: 0 }
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

/** A change of the weights moves only the objects between the old and the new bounds. */
function partIndexOfKey (route: Route, objectKey: string, sum: number): number {
  const point = hash32(`split:${objectKey}`) / HASH_RANGE * sum
  let bound = 0
  for (let index = 0; index < route.parts.length; index += 1) {
    bound += route.parts[index].weight
    if (point < bound) return index
  }
  return route.parts.length - 1
}
