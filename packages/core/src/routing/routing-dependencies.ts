/**
 * The limits, budgets and stores that the routing system uses to decide on a request. Tests pass fakes.
 */
import type { KeyStore } from '../idempotency/key-store.js'
import type { ClientOrigin } from '../lookup/block-table.js'
import type { FairQueue } from '../limits/fair-queue.js'
import type { HedgePolicy } from '../limits/hedge-policy.js'
import type { LinkBudget } from '../limits/link-budget.js'
import type { OutstandingAttempts } from '../limits/outstanding-attempts.js'
import type { RetryBudget } from '../limits/retry-budget.js'
import type { ShiftLimiter } from '../limits/shift-limiter.js'
import type { SlotLimits } from '../limits/slot-limits.js'
import type { UpstreamSelector } from '../limits/upstream-selector.js'

/** Everything that the routing system uses apart from the tables. */
export interface RoutingDependencies {
  /** Attempts that have not ended, by upstream. The routing system adds and removes them. */
  readonly outstandingAttempts: OutstandingAttempts
  readonly slotLimits: SlotLimits
  readonly upstreamSelector: UpstreamSelector
  readonly shiftLimiter: ShiftLimiter
  readonly linkBudget: LinkBudget
  readonly retryBudget: RetryBudget
  readonly hedgePolicy: HedgePolicy
  readonly keyStore: KeyStore
  /** Creates the queue of one service and length class. Its items are request ids. */
  readonly createQueue: () => FairQueue<string>
  /** Zone and tenant of a client address; this instance's zone when the address is unknown. */
  readonly resolveOrigin: (client: string | undefined) => ClientOrigin
}
