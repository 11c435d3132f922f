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
import type { RoutingParts } from './routing-parts.js'
import type { Step } from './routing-context.js'
import { arrive } from './arrival.js'
import { attemptAnswered, attemptFailed, attemptFinished, attemptRefused, attemptWritten } from './attempt-events.js'
import { cancelRequest, expireDue } from './expiry.js'
import { headroomOf, serviceHeadroom } from './headroom.js'
import { hedgeDue } from './hedging.js'
import { serveAll, serveService, sweepQueues } from './queue-service.js'
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
export function createRouting (world: World, parts: RoutingParts): Routing {
  const context = createRoutingContext(world, parts)

  /** Applies an event, then acts on what it and the passing of time changed. */
  function run (now: number, apply: (step: Step) => string | undefined): readonly Command[] {
    const step: Step = { now, commands: [] }
    const service = apply(step)
    const expired = expireDue(context, step)
    sweepQueues(context)
    if (expired) serveAll(context, step)
    else if (service !== undefined) serveService(context, service, step)
    hedgeDue(context, step)
    return step.commands
  }

  const system: System = {
    name: 'routing',
    handlers: {
      'request-arrived': (event, now) => run(now, step => {
        arrive(context, event, step)
        return undefined
      }),
      // Only a fact: acting on time here could end another request before the report of its own first write.
      'attempt-written': event => {
        attemptWritten(context, event)
        return []
      },
      'attempt-refused': (event, now) => run(now, step => attemptRefused(context, event, step)),
      'attempt-answered': (event, now) => run(now, step => attemptAnswered(context, event, step)),
      'attempt-finished': (event, now) => run(now, step => attemptFinished(context, event, step)),
      'attempt-failed': (event, now) => run(now, step => attemptFailed(context, event, step)),
      'request-cancelled': (event, now) => run(now, step => cancelRequest(context, event, step)),
      'heartbeat-received': event => {
        context.peerLoad.recordHeadroom(event.heartbeat.instanceId)
        return []
      },
      tick: (_event, now) => run(now, step => {
        expireDue(context, step)
        sweepQueues(context)
        serveAll(context, step)
        context.peerLoad.forget(id => world.instances.has(id))
        return undefined
      })
    }
  }

  return {
    system,
    explain: context.decisions.find,
    headroom: now => headroomOf(context, now),
    serviceHeadroom: (service, now) => serviceHeadroom(context, service, now)
  }
}
