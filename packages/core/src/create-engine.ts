/**
 * The engine of one entry instance: the systems in their order, and the queries that do not change any table.
 */
import type { Result } from 'neverthrow'
import type { Command } from './command.js'
import type { Configuration, Operation } from './configuration.js'
import type { Event } from './event.js'
import type { Headroom, Heartbeat } from './heartbeat.js'
import type { Reason } from './reason.js'
import type { LocalInstance, World } from './tables.js'
import { err } from 'neverthrow'
import { monotonicNow } from './clock.js'
import { createConfigurationSystem } from './configuration/configuration-system.js'
import { makePlan } from './configuration/make-plan.js'
import { createWorld, runSystems } from './engine.js'
import { lookup } from './lookup/lookup.js'
import { createMembershipSystem } from './membership/membership-system.js'
import { createRoutingParts } from './routing/create-routing-parts.js'
import { createRouting } from './routing/routing-system.js'
import { createShutdownSystem } from './shutdown/shutdown-system.js'

/** What an engine needs at its start. */
export interface EngineOptions {
  readonly self: LocalInstance
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
export interface TrafficMove {
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
  readonly moves: readonly TrafficMove[]
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
  /** This instance's state for a peer, as the answer to its heartbeat. */
  readonly heartbeat: () => Heartbeat
  /** Headroom of a service, for the answer to a forwarded request; `undefined` if the zone takes no work for it. */
  readonly headroom: (service: string) => Headroom | undefined
  readonly configuration: () => Configuration | undefined
  /** The tables, for status pages and tests. */
  readonly world: World
}

/** Creates the engine of one entry instance. */
export function createEngine (options: EngineOptions): Engine {
  const world = createWorld(options.self)
  const parts = createRoutingParts(world, options.seed)
  const routing = createRouting(world, parts)
  const membership = createMembershipSystem(world, { headroom: () => routing.headroom(monotonicNow()) })
  // Membership reads the target of an attempt before routing ends it; shutdown looks for requests that routing left.
  const systems = [createConfigurationSystem(world), membership, routing.system, createShutdownSystem(world)]
  return {
    handle: event => runSystems(systems, event, monotonicNow()),
    lookup: query => lookup(world, query),
    // A key lasts no longer than its issuer, so an instance that stops issues none.
    issueKeys: count => world.stoppingSince === undefined
      ? parts.keys.issue(count, monotonicNow())
      : err({ reason: 'instance-stopping' }),
    plan: operations => world.configuration === undefined
      ? err({ reason: 'no-configuration' })
      : makePlan(world.configuration, operations),
    explain: routing.explain,
    headroom: service => routing.serviceHeadroom(service, monotonicNow()),
    heartbeat: () => membership.heartbeat(monotonicNow()),
    configuration: () => world.configuration,
    world
  }
}
