/**
 * The queues of requests that wait for a slot in the own zone, by service and length class.
 */
import type { LengthClass } from '../configuration.js'
import type { FairQueue } from '../limits/fair-queue.js'
import type { Request } from '../tables.js'

/** Short work is served first: long work never takes a slot that a waiting short request could use. */
const SERVING_ORDER: readonly LengthClass[] = ['short', 'long']

type ServiceQueues = { readonly [L in LengthClass]: FairQueue<string> }

/** Queues of request ids. */
export interface RequestQueues {
  /** `false` when the queue is full. */
  push (request: Request): boolean
  size (service: string, length: LengthClass): number
  /** The request that is served next. */
  peek (service: string, length: LengthClass): string | undefined
  /** Queues of the service that are not empty, in the order in which they are served. */
  nonEmpty (service: string): ReadonlyArray<{ readonly length: LengthClass, readonly queue: FairQueue<string> }>
  services (): Iterable<string>
  /** Marks that a queued request ended; `removeEnded` takes it out. */
  markEnded (request: Request): void
  /** Takes out all requests that ended, in one pass for each queue concerned. */
  removeEnded (hasEnded: (requestId: string) => boolean): void
}

/** Creates queues that are made on first use. */
export function createRequestQueues (createQueue: () => FairQueue<string>): RequestQueues {
  const queues = new Map<string, ServiceQueues>()
  const queuesWithEnded = new Set<FairQueue<string>>()

  function queuesOf (service: string): ServiceQueues {
    let found = queues.get(service)
    if (found === undefined) {
      found = { short: createQueue(), long: createQueue() }
      queues.set(service, found)
    }
    return found
  }

  return {
    push: request => queuesOf(request.service)[request.length].push(request.tenant, request.id),
    size: (service, length) => queues.get(service)?.[length].size ?? 0,
    peek: (service, length) => queues.get(service)?.[length].peek(),
    nonEmpty (service) {
      const found = queues.get(service)
      if (found === undefined || found.short.size + found.long.size === 0) return []
      return SERVING_ORDER.map(length => ({ length, queue: found[length] })).filter(({ queue }) => queue.size > 0)
    },
    services: () => queues.keys(),
    markEnded (request) {
      queuesWithEnded.add(queuesOf(request.service)[request.length])
    },
    removeEnded (hasEnded) {
      if (queuesWithEnded.size === 0) return
      for (const queue of queuesWithEnded) queue.remove(hasEnded)
      queuesWithEnded.clear()
    }
  }
}
