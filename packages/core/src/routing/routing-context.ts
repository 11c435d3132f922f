/**
 * The state that the modules of the routing system share, and small queries on it.
 */
import type { Command } from '../command.js'
import type { Request, World } from '../tables.js'
import type { AttemptTable } from './attempt-table.js'
import type { ConfigurationIndex } from '../limits/configuration-index.js'
import type { DecisionLog } from './decision-log.js'
import type { EligibleZones } from './eligible-zones.js'
import type { PeerLoad } from './peer-load.js'
import type { RequestProgress } from './request-progress.js'
import type { RequestQueues } from './request-queues.js'
import type { Distance, RoundTrips } from './round-trips.js'
import type { RoutingDependencies } from './routing-dependencies.js'
import type { TimerHeap } from './timer-heap.js'
import { createAttemptTable } from './attempt-table.js'
import { createConfigurationIndex } from '../limits/configuration-index.js'
import { createDecisionLog } from './decision-log.js'
import { createEligibleZones } from './eligible-zones.js'
import { createPeerLoad } from './peer-load.js'
import { createRequestQueues } from './request-queues.js'
import { createRoundTrips } from './round-trips.js'
import { createTimerHeap } from './timer-heap.js'

/** Shared state of one routing system. */
export interface RoutingContext {
  readonly world: World
  readonly dependencies: RoutingDependencies
  readonly attempts: AttemptTable
  /** By request id; has the same keys as `world.requests`. */
  readonly progress: Map<string, RequestProgress>
  readonly queues: RequestQueues
  readonly deadlines: TimerHeap
  /** Times from which a request may be hedged. */
  readonly hedgeTimers: TimerHeap
  readonly decisions: DecisionLog
  readonly roundTrips: RoundTrips
  readonly peerLoad: PeerLoad
  /** Looks up rows of the current configuration by key. */
  readonly configurationIndex: ConfigurationIndex
  readonly eligibleZones: EligibleZones
}

/** The handling of one event: the monotonic time read for it, and the commands collected so far. */
export interface Step {
  readonly now: number
  readonly commands: Command[]
}

/** Creates the shared state. */
export function createRoutingContext (world: World, dependencies: RoutingDependencies): RoutingContext {
  const peerLoad = createPeerLoad()
  return {
    world,
    dependencies,
    attempts: createAttemptTable(world, dependencies, peerLoad),
    progress: new Map(),
    queues: createRequestQueues(dependencies.createQueue),
    deadlines: createTimerHeap(),
    hedgeTimers: createTimerHeap(),
    decisions: createDecisionLog(),
    roundTrips: createRoundTrips(),
    peerLoad,
    configurationIndex: createConfigurationIndex(world),
    eligibleZones: createEligibleZones(world)
  }
}

/** Sets the state of a request in its table and returns the new row. */
export function setRequestState (context: RoutingContext, request: Request, state: Request['state']): Request {
  if (request.state === state) return request
  const changed = { ...request, state }
  context.world.requests.set(request.id, changed)
  return changed
}

/** How far a zone is from this instance's zone. */
export function zoneDistance (context: RoutingContext, zone: string): Distance {
  if (zone === context.world.self.zone) return 'zone'
  return isSameRegion(context, zone, context.world.self.zone) ? 'region' : 'elsewhere'
}

/** Whether two zones are in the same region; `false` when they differ and either one is not configured. */
export function isSameRegion (context: RoutingContext, a: string, b: string): boolean {
  const region = context.configurationIndex.zone(a)?.region
  return a === b || (region !== undefined && region === context.configurationIndex.zone(b)?.region)
}
