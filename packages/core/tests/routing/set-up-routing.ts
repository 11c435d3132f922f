/**
 * Sets up a routing system over a small world, with functions that send events to it.
 */
import type { Command } from '../../src/command.js'
import type { Event, RequestArrived } from '../../src/event.js'
import type { RoutingDependencies } from '../../src/routing/routing-dependencies.js'
import { runSystems } from '../../src/system.js'
import { createRouting } from '../../src/routing/routing-system.js'
import { createFakeDependencies, createTestWorld } from './fake-dependencies.js'

export function setUpRouting (upstreams: number, overrides: Partial<RoutingDependencies> = {}) {
  const world = createTestWorld(upstreams)
  const routing = createRouting(world, createFakeDependencies(world, overrides))
  const handle = (event: Event, now = 0): readonly Command[] => runSystems([routing.system], event, now)
  const arrive = (requestId: string, path: string, fields: Partial<RequestArrived> = {}, now = 0): readonly Command[] =>
    handle({ type: 'request-arrived', requestId, service: 's', method: 'GET', path, ...fields }, now)
  return { world, routing, handle, arrive }
}

export const commandTypes = (commands: readonly Command[]): string[] => commands.map(command => command.type)
