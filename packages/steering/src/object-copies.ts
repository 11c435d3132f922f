/**
 * Decides over how many upstreams a popular object's requests are divided. The number rises at once with the demand and
 * falls slowly: every upstream that leaves and joins again has to fetch the object again, which costs the most work when
 * the demand varies.
 */

export interface ObjectCopies {
  /**
   * Number of upstreams for an object whose demand is `demand` times the mean load of an upstream; 1 if it is not
   * divided.
   */
  readonly countFor: (service: string, objectKey: string, demand: number, now: number) => number
  /** Number of objects that were divided when they were last requested. */
  readonly dividedCount: () => number
}

/**
 * Demand for an object, relative to the mean load of an upstream, from which on it is divided. The upstream serves its part
 * of the other objects besides, so at this demand it has about twice the mean load.
 */
export const MIN_DIVIDED_DEMAND = 1
/** Upstreams for each unit of demand: an upstream gets at most half of the mean load from one object. */
const COPIES_PER_DEMAND = 2
/** Time in which the remembered demand falls to 1/e, in milliseconds. Longer than a wave or burst of demand. */
const FALL_MS = 30_000
/** Divided objects that are remembered. At one time only as many can reach the threshold as a region has upstreams. */
const MAX_DIVIDED = 1_024

interface HeldDemand { demand: number, updatedAt: number }

export function createObjectCopies (): ObjectCopies {
  const held = new Map<string, HeldDemand>()
  return {
    countFor: (service, objectKey, demand, now) => {
      // Almost all objects are rare, so the common case builds no key.
      if (demand < MIN_DIVIDED_DEMAND && held.size === 0) return 1
      const key = `${service}\n${objectKey}`
      const earlier = held.get(key)
      const remembered = earlier === undefined ? 0 : earlier.demand * Math.exp((earlier.updatedAt - now) / FALL_MS)
      const current = Math.max(demand, remembered)
      if (earlier !== undefined) held.delete(key)
      if (current < MIN_DIVIDED_DEMAND) return 1
      held.set(key, { demand: current, updatedAt: now })
      if (held.size > MAX_DIVIDED) {
        const [oldest] = held.keys()
        held.delete(oldest)
      }
      return Math.ceil(COPIES_PER_DEMAND * current)
    },
    dividedCount: () => held.size
  }
}
