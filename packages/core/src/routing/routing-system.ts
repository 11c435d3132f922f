/**
 * The life of a request, from its arrival to its one answer. Each event is applied first; then requests whose
 * deadline has passed are ended, before any slot is given to a request, so that a process that was paused never
 * dispatches an expired request.
 */
import type { Command } from '../command.js'
import type { Decision } from '../create-engine.js'
import type { System } from '../engine.js'
import type { Headroom } from '../heartbeat.js'
import type { World } from '../tables.js'
import type { RoutingDependencies } from './routing-dependencies.js'
import type { Step } from './routing-context.js'
import { handleRequestArrived } from './arrival.js'
import { handleAttemptAnswered, handleAttemptFailed, handleAttemptFinished, handleAttemptRefused, handleAttemptWritten } from './attempt-events.js'
import { handleRequestCancelled, expireRequests } from './expiry.js'
import { zoneHeadroom, serviceHeadroom } from './headroom.js'
import { startDueHedges } from './hedging.js'
import { dispatchAllQueues, dispatchServiceQueues, removeEndedRequests } from './queue-dispatch.js'
import { createRoutingContext } from './routing-context.js'

/** The routing system and its queries. */
export interface Routing {
  readonly system: System
  readonly explain: (requestId: string) => Decision | undefined
  /** Headroom of the own zone. */
  readonly headroom: (now: number) => readonly Headroom[]
  readonly serviceHeadroom: (service: string, now: number) => Headroom | undefined
}

/** Creates the routing system over a world. It owns the tables `requests` and `attempts`. */
export function createRouting (world: World, dependencies: RoutingDependencies): Routing {
  const context = createRoutingContext(world, dependencies)

  /** Applies an event, then acts on what it and the passing of time changed. */
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
      // Only a fact: acting on time here could end another request before the report of its own first write.
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
    explain: context.decisions.find,
    headroom: now => zoneHeadroom(context, now),
    serviceHeadroom: (service, now) => serviceHeadroom(context, service, now)
  }
}
