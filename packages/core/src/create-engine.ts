/**
 * The engine of one entry instance makes all its decisions: it turns events into commands and answers queries. It does
 * no I/O of its own; the embedding program reports events and executes the commands.
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
import { createWorld, runSystems } from './system.js'
import { lookup } from './lookup/lookup.js'
import { createMembershipSystem } from './membership/membership-system.js'
import { createRoutingDependencies } from './routing/create-routing-dependencies.js'
import { createRouting } from './routing/routing-system.js'
import { createShutdownSystem } from './shutdown/shutdown-system.js'

export interface EngineOptions {
  readonly self: LocalInstance
  /** Seed of the random numbers that this engine draws. */
  readonly seed: number
}

/** The entry instances that a client should use, best first. */
export interface LookupResult {
  readonly service: string
  /** Version of the configuration that the result was computed from. */
  readonly version: number
  /** Time for which the result may be cached, in milliseconds. */
  readonly ttlMs: number
  readonly instances: ReadonlyArray<{ readonly id: string, readonly zone: string, readonly address: string }>
}

/** Why a query failed. */
export interface QueryError {
  readonly reason: Reason
}

/** Idempotency keys issued by this instance. */
export interface IssuedKeys {
  readonly keys: readonly string[]
  /** Time for which the keys are accepted, in milliseconds. */
  readonly validMs: number
}

/** Traffic of an origin zone that a change would move to another zone. */
export interface TrafficMove {
  readonly service: string
  readonly fromZone: string
  readonly toZone: string
  /** Share of the origin zone's traffic that moves, 0 to 1. */
  readonly share: number
  /** Shift cap of the service, 0 to 1. */
  readonly cap: number
}

/** The effects that a change would have. Computed from a configuration and operations, never stored. */
export interface Plan {
  /** Hash of the other fields. */
  readonly planId: string
  readonly baseVersion: number
  readonly operations: readonly Operation[]
  readonly moves: readonly TrafficMove[]
  /** Reasons why the plan can't be confirmed; empty if it can. */
  readonly blockers: readonly string[]
}

/** Record of how a request was routed and how it ended. Kept for the most recent requests only. */
export interface RoutingDecision {
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

/** The engine of one entry instance. All calls are synchronous and use the current time. */
export interface Engine {
  /** Handles an event and returns the commands to execute, in order. */
  readonly handle: (event: Event) => readonly Command[]
  /** Ranks the entry instances for a client, by its IP address if that is known. */
  readonly lookup: (query: { readonly service: string, readonly client?: string }) => Result<LookupResult, QueryError>
  /** Issues idempotency keys. Fails during a planned stop. */
  readonly issueKeys: (count: number) => Result<IssuedKeys, QueryError>
  /** Computes the effects of a change to the current configuration. */
  readonly plan: (operations: readonly Operation[]) => Result<Plan, QueryError>
  /** Returns the record of a recent request. */
  readonly explain: (requestId: string) => RoutingDecision | undefined
  /** Returns this instance's heartbeat, for the reply to a peer's. */
  readonly heartbeat: () => Heartbeat
  /** Returns the headroom of a service in this zone, or `undefined` if the zone accepts no requests of the service. */
  readonly headroom: (service: string) => Headroom | undefined
  readonly configuration: () => Configuration | undefined
  /** The tables, to be read by status pages and tests. */
  readonly world: World
}

/** Creates the engine of one entry instance. */
export function createEngine (options: EngineOptions): Engine {
  const world = createWorld(options.self)
  const dependencies = createRoutingDependencies(world, options.seed)
  const routing = createRouting(world, dependencies)
  const membership = createMembershipSystem(world, { headroom: () => routing.headroom(monotonicNow()) })
  // Membership must read the target of an attempt before routing deletes it. Shutdown must run after routing has removed
  // the requests that ended.
  const systems = [createConfigurationSystem(world), membership, routing.system, createShutdownSystem(world)]
  return {
    handle: event => runSystems(systems, event, monotonicNow()),
    lookup: query => lookup(world, query),
    // A key is useless once its issuer has ended, so a stopping instance issues none.
    issueKeys: count => world.stoppingSince === undefined
      ? dependencies.keyStore.issue(count, monotonicNow())
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
