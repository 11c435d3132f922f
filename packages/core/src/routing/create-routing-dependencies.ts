/**
 * Creates the dependencies of the routing system as an entry instance uses them.
 */
import type { World } from '../tables.js'
import type { RoutingDependencies } from './routing-dependencies.js'
import { createKeyStore } from '../idempotency/key-store.js'
import { createFairQueue } from '../limits/fair-queue.js'
import { createHedgePolicy } from '../limits/hedge-policy.js'
import { createLinkBudget } from '../limits/link-budget.js'
import { createOutstandingAttempts } from '../limits/outstanding-attempts.js'
import { createRetryBudget } from '../limits/retry-budget.js'
import { createShiftLimiter } from '../limits/shift-limiter.js'
import { createSlotLimits } from '../limits/slot-limits.js'
import { createUpstreamSelector } from '../limits/upstream-selector.js'
import { resolveClientOrigin } from '../lookup/client-origin.js'

/** Most requests that one queue holds. With more, the last ones would wait longer than most deadlines. */
const MAX_QUEUED_REQUESTS = 1_024

/** Creates the dependencies. `seed` is for the random numbers that break ties between upstreams. */
export function createRoutingDependencies (world: World, seed: number): RoutingDependencies {
  const outstanding = createOutstandingAttempts()
  const slots = createSlotLimits(world, outstanding)
  return {
    outstandingAttempts: outstanding,
    slotLimits: slots,
    upstreamSelector: createUpstreamSelector({ world, slots, outstanding, seed }),
    shiftLimiter: createShiftLimiter(world),
    linkBudget: createLinkBudget(world),
    retryBudget: createRetryBudget(),
    hedgePolicy: createHedgePolicy(),
    keyStore: createKeyStore({ world }),
    createQueue: () => createFairQueue(MAX_QUEUED_REQUESTS),
    resolveOrigin: client => resolveClientOrigin(world, client)
  }
}
