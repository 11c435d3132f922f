/**
 * The systems that make up an engine. Each one owns some of the tables in `World` and handles some types of events. For
 * each event the engine calls the handlers of all systems in a fixed order and returns their commands. Handlers are
 * synchronous.
 */
import type { Command } from './command.js'
import type { Event } from './event.js'
import type { LocalInstance, World } from './tables.js'
import { InstanceMap } from './instance-map.js'

/** Handles one type of event and returns the resulting commands. `now` is the monotonic time of the event. */
export type Handler<E extends Event> = (event: E, now: number) => readonly Command[]

/** The handlers of a system, by event type. */
export type Handlers = { readonly [T in Event['type']]?: Handler<Extract<Event, { type: T }>> }

/** A part of the engine: updates the tables that it owns and turns events into commands. */
export interface System {
  readonly name: string
  readonly handlers: Handlers
}

/** Creates the empty tables of one entry instance. */
export function createWorld (self: LocalInstance): World {
  return {
    self,
    configuration: undefined,
    instances: new InstanceMap(),
    upstreams: new Map(),
    requests: new Map(),
    attempts: new Map(),
    clientBlocks: undefined,
    stoppingSince: undefined
  }
}

/** Calls the handlers for this event in the order of `systems` and returns all their commands. */
export function runSystems (systems: readonly System[], event: Event, now: number): readonly Command[] {
  const commands: Command[] = []
  for (const system of systems) {
    const handler = system.handlers[event.type] as Handler<Event> | undefined
    if (handler !== undefined) commands.push(...handler(event, now))
  }
  return commands
}
