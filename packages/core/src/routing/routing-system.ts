/**
 * The routing system: handles a request from its arrival until its one answer. Each handler first applies its event,
 * then ends the requests whose deadline has passed, and only then dispatches queued requests to free slots. A process
 * that was paused therefore never dispatches a request that expired during the pause.
 */
import type { Command } from '../command.js'
import type { RoutingDecision } from '../create-engine.js'
import type { System } from '../system.js'
import type { Headroom } from '../heartbeat.js'
import type { World } from '../tables.js'
import type { RoutingDependencies } from './routing-dependencies.js'
import type { Step } from './routing-context.js'
import { handleRequestArrived } from './arrival.js'
import {
  handleAttemptAnswered, handleAttemptFailed, handleAttemptFinished, handleAttemptRefused, handleAttemptWritten
} from './attempt-events.js'
import { handleRequestCancelled, expireRequests } from './expiry.js'
import { zoneHeadroom, serviceHeadroom } from './headroom.js'
import { startDueHedges } from './hedging.js'
import { dispatchAllQueues, dispatchServiceQueues, removeEndedRequests } from './queue-dispatch.js'
import { createRoutingContext } from './routing-context.js'

/** The routing system and the queries on its state. */
export interface Routing {
  readonly system: System
  /** The decision on a recent request; `undefined` when it is no longer kept. */
  readonly explain: (requestId: string) => RoutingDecision | undefined
  /** Headroom of each service that this instance's zone accepts work for. */
  readonly headroom: (now: number) => readonly Headroom[]
  /** Headroom of one service; `undefined` when this instance's zone accepts no work for it. */
  readonly serviceHeadroom: (service: string, now: number) => Headroom | undefined
}

/** Creates the routing system, which owns the tables `requests` and `attempts` of `world`. */
export function createRouting (world: World, dependencies: RoutingDependencies): Routing {
  const context = createRoutingContext(world, dependencies)

  /**
   * Applies an event, ends expired requests, dispatches queued requests and starts hedges that are due. `applyEvent`
   * returns the service whose slots may have become free.
   */
  function handleEvent (now: number, applyEvent: (step: Step) => string | undefined): readonly Command[] {
    const step: Step = { now, commands: [] }
    const service = applyEvent(step)
    const expired = expireRequests(context, step)
    removeEndedRequests(context)
    if (expired) dispatchAllQueues(context, step)
    else if (service !== undefined) dispatchServiceQueues(context, service, step)
    startDueHedges(context, step)
    return step.commands
  }

  const system: System = {
    name: 'routing',
    handlers: {
      'request-arrived': (event, now) => handleEvent(now, step => {
        handleRequestArrived(context, event, step)
        return undefined
      }),
      // Only records the state. Ending expired requests here could end one whose own `attempt-written` event is still
      // to come, and answer it `not-run`.
      'attempt-written': event => {
        handleAttemptWritten(context, event)
        return []
      },
      'attempt-refused': (event, now) => handleEvent(now, step => handleAttemptRefused(context, event, step)),
      'attempt-answered': (event, now) => handleEvent(now, step => handleAttemptAnswered(context, event, step)),
      'attempt-finished': (event, now) => handleEvent(now, step => handleAttemptFinished(context, event, step)),
      'attempt-failed': (event, now) => handleEvent(now, step => handleAttemptFailed(context, event, step)),
      'request-cancelled': (event, now) => handleEvent(now, step => handleRequestCancelled(context, event, step)),
      'heartbeat-received': event => {
        context.peerLoad.recordHeartbeat(event.heartbeat.instanceId)
        return []
      },
      tick: (_event, now) => handleEvent(now, step => {
        expireRequests(context, step)
        removeEndedRequests(context)
        dispatchAllQueues(context, step)
        context.peerLoad.prune(id => world.instances.has(id))
        return undefined
      })
    }
  }

  return {
    system,
    explain: context.decisions.findByRequest,
    headroom: now => zoneHeadroom(context, now),
    serviceHeadroom: (service, now) => serviceHeadroom(context, service, now)
  }
}
