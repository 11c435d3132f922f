/**
 * The engine of one entry instance: the systems in their order, and the queries that do not change any table.
 */
import type { Result } from 'neverthrow'
import type { Command } from './command.js'
import type { Configuration, Operation } from './configuration.js'
import type { Event } from './event.js'
import type { Reason } from './reason.js'
import type { Self, World } from './tables.js'
import { createWorld } from './engine.js'
import { createBasicSystem } from './basic-system.js'
import { runSystems } from './engine.js'
import { monotonicNow } from './clock.js'
import { err, ok } from 'neverthrow'

/** What an engine needs at its start. */
export interface EngineOptions {
  readonly self: Self
  /** Seed of the random numbers that this engine draws. */
  readonly seed: number
}

/** Which entry instances a client should use, best first. */
export interface LookupAnswer {
  readonly service: string
  /** Version of the configuration that the answer was made from. */
  readonly version: number
  /** How long the answer may be cached, in milliseconds. */
  readonly ttlMs: number
  readonly instances: ReadonlyArray<{ readonly id: string, readonly zone: string, readonly address: string }>
}

/** The system can't answer a query, for a stated reason. */
export interface QueryError {
  readonly reason: Reason
}

/** Idempotency keys issued by this instance. */
export interface IssuedKeys {
  readonly keys: readonly string[]
  /** How long the keys are accepted, in milliseconds. */
  readonly validMs: number
}

/** One movement of traffic that a change would cause. */
export interface Move {
  readonly service: string
  readonly fromZone: string
  readonly toZone: string
  /** Share of the origin's traffic, 0 to 1. */
  readonly share: number
  /** The cap that applies, 0 to 1. */
  readonly cap: number
}

/** What a change would do. Computed from a configuration and operations; nobody stores it. */
export interface Plan {
  /** Hash of base version, operations and moves. */
  readonly planId: string
  readonly baseVersion: number
  readonly operations: readonly Operation[]
  readonly moves: readonly Move[]
  /** Why the plan can't be confirmed; empty if it can. */
  readonly blockers: readonly string[]
}

/** A request's history, kept for the newest requests only. */
export interface Decision {
  readonly requestId: string
  /** Milliseconds since the Unix epoch. */
  readonly at: number
  readonly service: string
  readonly originZone: string
  readonly configurationVersion: number
  readonly outcome: string
  readonly reason: Reason
  readonly attempts: ReadonlyArray<{ readonly target: string, readonly zone: string, readonly end: string }>
}

/** One entry instance's decisions. All calls are synchronous and read the runtime's clock. */
export interface Engine {
  /** Applies an event and returns what is to be done, in order. */
  readonly handle: (event: Event) => readonly Command[]
  readonly lookup: (query: { readonly service: string, readonly client?: string }) => Result<LookupAnswer, QueryError>
  readonly issueKeys: (count: number) => Result<IssuedKeys, QueryError>
  readonly plan: (operations: readonly Operation[]) => Result<Plan, QueryError>
  readonly explain: (requestId: string) => Decision | undefined
  readonly configuration: () => Configuration | undefined
  /** The tables, for status pages and tests. */
  readonly world: World
}

const LOOKUP_TTL_MS = 5_000

/** Creates the engine of one entry instance. */
export function createEngine (options: EngineOptions): Engine {
  const world = createWorld(options.self)
  const systems = [createBasicSystem(world)]
  return {
    handle: event => runSystems(systems, event, monotonicNow()),
    lookup: query => {
      const configuration = world.configuration
      if (configuration === undefined) return err({ reason: 'no-configuration' })
      if (!configuration.services.some(service => service.id === query.service)) return err({ reason: 'unknown-service' })
      const others = [...world.instances.values()].filter(instance => instance.state === 'live')
      const instances = [options.self, ...others].map(({ id, zone, address }) => ({ id, zone, address }))
      return ok({ service: query.service, version: configuration.version, ttlMs: LOOKUP_TTL_MS, instances })
    },
    issueKeys: () => err({ reason: 'key-table-full' }),
    plan: () => err({ reason: 'no-configuration' }),
    explain: () => undefined,
    configuration: () => world.configuration,
    world
  }
}
