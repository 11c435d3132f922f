/**
 * Runs the systems over the tables. For each event the engine calls, in a fixed order, the handler of every
 * system that has one for the event's type, and returns the commands of all. Handlers are synchronous.
 */
import type { Command } from './command.js'
import type { Event } from './event.js'
import type { LocalInstance, World } from './tables.js'
import { InstanceMap } from './instance-map.js'

/** Handles one type of event. `now` is the monotonic time read for this event. */
export type Handler<E extends Event> = (event: E, now: number) => readonly Command[]

/** The handlers of a system, by event type. */
export type Handlers = { readonly [T in Event['type']]?: Handler<Extract<Event, { type: T }>> }

/** A system owns tables and turns events into commands. */
export interface System {
  readonly name: string
  readonly handlers: Handlers
}

/** Creates an empty world for one entry instance. */
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

/** Calls the handlers that the systems have for this event, in the order of `systems`. */
export function runSystems (systems: readonly System[], event: Event, now: number): readonly Command[] {
  const commands: Command[] = []
  for (const system of systems) {
    const handler = system.handlers[event.type] as Handler<Event> | undefined
    if (handler !== undefined) commands.push(...handler(event, now))
  }
  return commands
}
