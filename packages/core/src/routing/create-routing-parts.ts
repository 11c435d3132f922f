/**
 * The parts that the routing system of an entry instance uses.
 */
import type { World } from '../tables.js'
import type { RoutingParts } from './routing-parts.js'
import { createKeyStore } from '../idempotency/key-store.js'
import { createFairQueue } from '../limits/fair-queue.js'
import { createHedgePolicy } from '../limits/hedge-policy.js'
import { createLinkBudget } from '../limits/link-budget.js'
import { createOutstanding } from '../limits/outstanding.js'
import { createRetryBudget } from '../limits/retry-budget.js'
import { createShiftMeter } from '../limits/shift-meter.js'
import { createSlotLimits } from '../limits/slot-limits.js'
import { createUpstreamSelector } from '../limits/upstream-selector.js'
import { clientOrigin } from '../lookup/client-origin.js'

/** Requests of one service and length class that wait for a slot. More would wait longer than most deadlines. */
const MAX_QUEUED = 1_024

/** Creates the parts over a world. `seed` is that of the generator that breaks ties. */
export function createRoutingParts (world: World, seed: number): RoutingParts {
  const outstanding = createOutstanding()
  const slots = createSlotLimits(world, outstanding)
  return {
    outstanding,
    slots,
    upstreams: createUpstreamSelector({ world, slots, outstanding, seed }),
    shifts: createShiftMeter(world),
    links: createLinkBudget(world),
    retries: createRetryBudget(),
    hedges: createHedgePolicy(),
    keys: createKeyStore({ world }),
    createQueue: () => createFairQueue(MAX_QUEUED),
    origin: client => clientOrigin(world, client)
  }
}
