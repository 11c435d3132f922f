/**
 * The state that the units of the routing system share.
 */
import type { Command } from '../command.js'
import type { Request, World } from '../tables.js'
import type { AttemptTable } from './attempt-table.js'
import type { ConfigurationIndex } from '../limits/configuration-index.js'
import type { DecisionLog } from './decision-log.js'
import type { Hosting } from './hosting.js'
import type { PeerLoad } from './peer-load.js'
import type { Progress } from './progress.js'
import type { RequestQueues } from './request-queues.js'
import type { Distance, RoundTrips } from './round-trips.js'
import type { RoutingParts } from './routing-parts.js'
import type { TimerHeap } from './timer-heap.js'
import { createAttemptTable } from './attempt-table.js'
import { createConfigurationIndex } from '../limits/configuration-index.js'
import { createDecisionLog } from './decision-log.js'
import { createHosting } from './hosting.js'
import { createPeerLoad } from './peer-load.js'
import { createRequestQueues } from './request-queues.js'
import { createRoundTrips } from './round-trips.js'
import { createTimerHeap } from './timer-heap.js'

/** Shared state of one routing system. */
export interface RoutingContext {
  readonly world: World
  readonly parts: RoutingParts
  readonly attempts: AttemptTable
  /** By request id; has the same keys as `world.requests`. */
  readonly progress: Map<string, Progress>
  readonly queues: RequestQueues
  readonly deadlines: TimerHeap
  /** Times at which a request may be hedged. */
  readonly hedgeTimers: TimerHeap
  readonly decisions: DecisionLog
  readonly trips: RoundTrips
  readonly peerLoad: PeerLoad
  /** Rows of the current configuration by key. */
  readonly rows: ConfigurationIndex
  readonly hosting: Hosting
}

/** One event's processing: the time read for it and the commands that it causes. */
export interface Step {
  readonly now: number
  readonly commands: Command[]
}

/** Creates the shared state. */
export function createRoutingContext (world: World, parts: RoutingParts): RoutingContext {
  const peerLoad = createPeerLoad()
  return {
    world,
    parts,
    attempts: createAttemptTable(world, parts, peerLoad),
    progress: new Map(),
    queues: createRequestQueues(parts.createQueue),
    deadlines: createTimerHeap(),
    hedgeTimers: createTimerHeap(),
    decisions: createDecisionLog(),
    trips: createRoundTrips(),
    peerLoad,
    rows: createConfigurationIndex(world),
    hosting: createHosting(world)
  }
}

/** Replaces the state of a request's row. */
export function setState (context: RoutingContext, request: Request, state: Request['state']): Request {
  if (request.state === state) return request
  const changed = { ...request, state }
  context.world.requests.set(request.id, changed)
  return changed
}

/** How far a zone is from the own one. */
export function distance (context: RoutingContext, zone: string): Distance {
  if (zone === context.world.self.zone) return 'zone'
  return sameRegion(context, zone, context.world.self.zone) ? 'region' : 'elsewhere'
}

/** Whether two zones are in the same region; `false` when either is not configured. */
export function sameRegion (context: RoutingContext, a: string, b: string): boolean {
  const region = context.rows.zone(a)?.region
  return a === b || (region !== undefined && region === context.rows.zone(b)?.region)
}
