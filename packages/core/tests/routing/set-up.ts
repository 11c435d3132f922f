/**
 * A routing system over a small world, with functions that send events to it.
 */
import type { Command } from '../../src/command.js'
import type { Event, RequestArrived } from '../../src/event.js'
import type { RoutingParts } from '../../src/routing/routing-parts.js'
import { runSystems } from '../../src/engine.js'
import { createRouting } from '../../src/routing/routing-system.js'
import { createSimpleParts, createTestWorld } from './simple-parts.js'

export function setUp (upstreams: number, overrides: Partial<RoutingParts> = {}) {
  const world = createTestWorld(upstreams)
  const routing = createRouting(world, createSimpleParts(world, overrides))
  const handle = (event: Event, now = 0): readonly Command[] => runSystems([routing.system], event, now)
  const arrive = (requestId: string, path: string, fields: Partial<RequestArrived> = {}, now = 0): readonly Command[] =>
    handle({ type: 'request-arrived', requestId, service: 's', method: 'GET', path, ...fields }, now)
  return { world, routing, handle, arrive }
}

export const types = (commands: readonly Command[]): string[] => commands.map(command => command.type)
