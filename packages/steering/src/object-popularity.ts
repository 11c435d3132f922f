/**
 * Counts the requests of this instance for each object, with exponential decay. A popular object needs more than one
 * upstream.
 *
 * Memory is bounded: of each service only the objects that were requested last are kept. A popular object is requested
 * again before that many others are, so it stays; unlike a count-min sketch, the counts of rare objects don't add to it.
 */

export interface ObjectPopularity {
  /** Counts a request for the object, or one without an object. */
  readonly record: (service: string, objectKey: string | undefined, now: number) => void
  /** Share of the object in this instance's requests for the service, from 0 to 1, less the uncertainty of the count. */
  readonly shareOf: (service: string, objectKey: string, now: number) => number
}

/** Time over which requests are averaged, in milliseconds. */
const AVERAGE_MS = 5_000
/** Objects of a service that are counted. */
const MAX_OBJECTS = 2_048
/** Requests that are added to the total, so that the first requests of an instance don't make each object popular. */
const ASSUMED_OTHER_REQUESTS = 10

interface Count { value: number, updatedAt: number }
interface ServiceCounts { readonly total: Count, readonly objects: Map<string, Count> }

function valueAt ({ value, updatedAt }: Count, now: number): number {
  return updatedAt === now ? value : value * Math.exp((updatedAt - now) / AVERAGE_MS)
}

function add (count: Count, now: number): void {
  count.value = valueAt(count, now) + 1
  count.updatedAt = now
}

export function createObjectPopularity (): ObjectPopularity {
  const services = new Map<string, ServiceCounts>()
  return {
    record: (service, objectKey, now) => {
      let counts = services.get(service)
      if (counts === undefined) services.set(service, counts = { total: { value: 0, updatedAt: now }, objects: new Map() })
      add(counts.total, now)
      if (objectKey === undefined) return
      const { objects } = counts
      const count = objects.get(objectKey) ?? { value: 0, updatedAt: now }
      add(count, now)
      // The least recently requested object is the first key of the map.
      objects.delete(objectKey)
      objects.set(objectKey, count)
      if (objects.size <= MAX_OBJECTS) return
      const [oldest] = objects.keys()
      objects.delete(oldest)
    },
    shareOf: (service, objectKey, now) => {
      const counts = services.get(service)
      const count = counts?.objects.get(objectKey)
      if (counts === undefined || count === undefined) return 0
      const requests = valueAt(count, now)
      // A count is uncertain by about its square root.
      return Math.max(0, requests - Math.sqrt(requests)) / (valueAt(counts.total, now) + ASSUMED_OTHER_REQUESTS)
    }
  }
}
