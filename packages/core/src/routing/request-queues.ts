/**
 * The queues of requests that wait for a slot in this instance's zone, by service and length class. Requests that end
 * while queued are marked and removed together, because each removal scans a whole queue.
 */
import type { LengthClass } from '../configuration.js'
import type { FairQueue } from '../limits/fair-queue.js'
import type { Request } from '../tables.js'

/** Short requests come first, so that long ones don't occupy slots that queued short requests could use. */
const DISPATCH_ORDER: readonly LengthClass[] = ['short', 'long']

type ServiceQueues = { readonly [L in LengthClass]: FairQueue<string> }

/** The queues of all services. Their items are request ids. */
export interface RequestQueues {
  /** Adds a request to its queue; `false` when the queue is full. */
  push (request: Request): boolean
  size (service: string, length: LengthClass): number
  /** Id of the request that is dispatched next. */
  peek (service: string, length: LengthClass): string | undefined
  /** Queues of the service that are not empty, in the order in which their requests are dispatched. */
  nonEmpty (service: string): ReadonlyArray<{ readonly length: LengthClass, readonly queue: FairQueue<string> }>
  services (): Iterable<string>
  /** Notes that a queued request ended. It stays in its queue until `removeEnded`. */
  markEnded (request: Request): void
  /** Removes all requests that ended, with one pass over each queue that contains any. */
  removeEnded (hasEnded: (requestId: string) => boolean): void
}

/** Creates the collection. The queues of a service are created on first use. */
export function createRequestQueues (createQueue: () => FairQueue<string>): RequestQueues {
  const queues = new Map<string, ServiceQueues>()
  const queuesWithEnded = new Set<FairQueue<string>>()

  function getOrCreateQueues (service: string): ServiceQueues {
    let found = queues.get(service)
    if (found === undefined) {
      found = { short: createQueue(), long: createQueue() }
      queues.set(service, found)
    }
    return found
  }

  return {
    push: request => getOrCreateQueues(request.service)[request.length].push(request.tenant, request.id),
    size: (service, length) => queues.get(service)?.[length].size ?? 0,
    peek: (service, length) => queues.get(service)?.[length].peek(),
    nonEmpty (service) {
      const found = queues.get(service)
      if (found === undefined || found.short.size + found.long.size === 0) return []
      return DISPATCH_ORDER.map(length => ({ length, queue: found[length] })).filter(({ queue }) => queue.size > 0)
    },
    services: () => queues.keys(),
    markEnded (request) {
      queuesWithEnded.add(getOrCreateQueues(request.service)[request.length])
    },
    removeEnded (hasEnded) {
      if (queuesWithEnded.size === 0) return
      for (const queue of queuesWithEnded) queue.remove(hasEnded)
      queuesWithEnded.clear()
    }
  }
}
