/**
 * Limits on the slots of each upstream that this instance may use. The limit is the instance's share of the slots.
 * While other instances that own shares are absent it grows one slot at a time, and every refusal by the upstream
 * lowers it; after a failure the upstream gets a probe at a time. Two instances that use the same slot do no harm,
 * because the upstream refuses before it runs the request.
 */
import type { Configuration, Service } from '../configuration.js'
import type { Upstream, World } from '../tables.js'
import type { Outstanding } from './outstanding.js'
import type { Presence } from './zone-presence.js'
import { createConfigurationIndex } from './configuration-index.js'
import { createGroupIndex } from './group-index.js'
import { createSlotShare } from './slot-share.js'
import { createZonePresence } from './zone-presence.js'

/** Slot limits of this instance. Times are monotonic milliseconds. */
export interface SlotLimits {
  /** Slots of the upstream that this instance may use now. 0 for an unknown, leaving or drained upstream. */
  readonly limit: (upstreamId: string, now: number) => number
  /** The upstream refused an attempt before it ran. */
  readonly recordRefusal: (upstreamId: string, now: number) => void
  /** The upstream finished an attempt. Ends the effect of earlier failures. */
  readonly recordCompletion: (upstreamId: string, now: number) => void
  /**
   * An attempt at the upstream failed or could not be connected. Until the next completion the limit is 1 for probes,
   * and from the third failure on 0 for a pause that doubles each time. The upstream selector calls it.
   */
  readonly recordFailure?: (upstreamId: string, now: number) => void
  /** Free slots of a service in a zone, within the limits. */
  readonly free: (service: string, zone: string, now: number) => number
  /** Sum of the limits of a service in a zone. */
  readonly total: (service: string, zone: string, now: number) => number
  /** Earliest time at which an upstream of the service in the zone may be used; `Infinity` if there is none. */
  readonly usableAt: (service: string, zone: string, now: number) => number
}

/** Time in which a limit grows by one slot. */
const GROWTH_INTERVAL_MS = 500
/** Time after a refusal in which a limit does not grow. */
const GROWTH_PAUSE_AFTER_REFUSAL_MS = 2_000
/** Failures in a row from which an upstream counts as dead. Fewer occur when it restarts its listener. */
const DEAD_AFTER_FAILURES = 3
/** First and longest pause after a failure. */
const MIN_BACKOFF_MS = 20
const MAX_BACKOFF_MS = 1_000
/** Rows are dropped of upstreams that are no longer listed when there are more rows than this. */
const MAX_STATES_BEFORE_PRUNE = 1_000

/** What the limit of one upstream is made from. */
interface LimitState {
  /** The inputs that the fields below were read from. */
  upstream: Upstream
  configuration: Configuration | undefined
  presence: Presence | undefined
  /** Absent when the service or the zone is not configured, or the upstream is drained. */
  service: Service | undefined
  configuredInstances: number
  inOwnZone: boolean
  share: number
  /** Difference between limit and share: above 0 while others are absent, below 0 after refusals. */
  adjustment: number
  /** Time from which the next slot of growth is counted. */
  growthStart: number
  /** `returns` of the zone's presence when `extra` was last updated. */
  returnCount: number
  /** Failures since the last completion; those during a pause count as one. */
  failures: number
  backoffUntil: number
}

/** Creates the slot limits of one instance. */
export function createSlotLimits (world: World, outstanding: Outstanding): SlotLimits {
  const configuration = createConfigurationIndex(world)
  const presenceOf = createZonePresence(world, configuration)
  const shareOf = createSlotShare(world.self.id)
  const upstreamsOf = createGroupIndex(world.upstreams, row => `${row.service}@${row.zone}`)
  const states = new Map<string, LimitState>()

  function inOwnRegion (zone: string): boolean {
    const region = configuration.zone(world.self.zone)?.region
    return region !== undefined && configuration.zone(zone)?.region === region
  }

  function createState (upstream: Upstream): LimitState {
    if (states.size >= MAX_STATES_BEFORE_PRUNE) for (const id of states.keys()) if (!world.upstreams.has(id)) states.delete(id)
    const state: LimitState = {
      upstream,
      configuration: undefined,
      presence: undefined,
      service: undefined,
      configuredInstances: 0,
      inOwnZone: upstream.zone === world.self.zone,
      share: 0,
      adjustment: 0,
      growthStart: upstream.listedAt,
      returnCount: -1,
      failures: 0,
      backoffUntil: -Infinity
    }
    states.set(upstream.id, state)
    return state
  }

  function readConfiguration (state: LimitState, upstream: Upstream): void {
    const zone = configuration.zone(upstream.zone)
    const usable = zone !== undefined && !configuration.isDrained(upstream) && (state.inOwnZone || inOwnRegion(upstream.zone))
    state.upstream = upstream
    state.configuration = world.configuration
    state.presence = undefined
    state.service = usable ? configuration.service(upstream.service) : undefined
    state.configuredInstances = zone?.instances ?? 0
  }

  /** The row of a live, configured upstream that is not drained, with its share. */
  function stateOf (upstreamId: string, now: number): LimitState | undefined {
    const upstream = world.upstreams.get(upstreamId)
    if (upstream === undefined || upstream.state !== 'live') return undefined
    const state = states.get(upstreamId) ?? createState(upstream)
    if (state.upstream !== upstream || state.configuration !== world.configuration) readConfiguration(state, upstream)
    if (state.service === undefined) return undefined
    const presence = presenceOf(upstream.zone, now)
    if (state.presence !== presence) {
      state.presence = presence
      state.share = state.inOwnZone ? shareOf(upstreamId, state.service.slots, state.configuredInstances, presence) : 0
    }
    return state
  }

  /** Adds the slots that have grown since `growthFrom`, at most `room`. */
  function grow (state: LimitState, maxGrowth: number, now: number): void {
    const steps = Math.floor((now - state.growthStart) / GROWTH_INTERVAL_MS)
    if (steps <= 0) return
    state.adjustment += Math.min(steps, maxGrowth)
    // Time at the highest limit is not credited to a later growth.
    state.growthStart = steps > maxGrowth ? now : state.growthStart + steps * GROWTH_INTERVAL_MS
  }

  function updateAdjustment (state: LimitState, service: Service, presence: Presence, now: number): void {
    const growthAllowedSince = state.inOwnZone ? presence.absentSince : presence.allAbsentSince
    if (state.returnCount !== presence.returnCount) {
      state.returnCount = presence.returnCount
      if (state.adjustment > 0) state.growthStart = Math.max(state.growthStart, now)
      state.adjustment = Math.min(0, state.adjustment)
    }
    // A limit below the share recovers at the same pace, whoever is absent.
    if (state.adjustment < 0) grow(state, -state.adjustment, now)
    if (state.adjustment < 0) return
    if (growthAllowedSince === undefined || growthAllowedSince > now) {
      state.adjustment = 0
      return
    }
    state.growthStart = Math.max(state.growthStart, growthAllowedSince)
    state.adjustment = Math.min(state.adjustment, service.slots - state.share)
    grow(state, service.slots - state.share - state.adjustment, now)
  }

  /** Highest limit of an upstream that was listed a short time ago; it rises linearly from one. */
  function slowStartLimit (state: LimitState, service: Service, now: number): number {
    const age = now - state.upstream.listedAt
    if (age >= service.coldStartMs) return Infinity
    const target = state.inOwnZone ? state.share : service.slots
    return Math.min(target, 1 + Math.floor((target - 1) * age / service.coldStartMs))
  }

  /** Without the effect of failures. */
  function limitIgnoringFailures (state: LimitState, now: number): number {
    if (state.service === undefined || state.presence === undefined) return 0
    updateAdjustment(state, state.service, state.presence, now)
    return Math.min(state.share + state.adjustment, slowStartLimit(state, state.service, now))
  }

  function limit (upstreamId: string, now: number): number {
    const state = stateOf(upstreamId, now)
    if (state === undefined) return 0
    const slots = limitIgnoringFailures(state, now)
    if (state.failures === 0) return slots
    return now < probesAllowedFrom(state) ? 0 : Math.min(1, slots)
  }

  /** Time from which an upstream that failed may be probed. */
  function probesAllowedFrom (state: LimitState): number {
    return state.failures >= DEAD_AFTER_FAILURES ? state.backoffUntil : -Infinity
  }

  function recordRefusal (upstreamId: string, now: number): void {
    const state = stateOf(upstreamId, now)
    if (state === undefined) return
    // At least one slot stays for the own zone's upstreams, so that a recovery is noticed.
    state.adjustment = Math.max(Math.min(1, state.share), limitIgnoringFailures(state, now) - 1) - state.share
    state.growthStart = now + GROWTH_PAUSE_AFTER_REFUSAL_MS
  }

  function recordFailure (upstreamId: string, now: number): void {
    const state = states.get(upstreamId)
    if (state === undefined || now < state.backoffUntil) return
    state.backoffUntil = now + Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** state.failures)
    // The exponent stays small, so that the product stays finite.
    state.failures = Math.min(state.failures + 1, MAX_BACKOFF_MS)
  }

  function usableAt (service: string, zone: string, now: number): number {
    if (zone !== world.self.zone && !inOwnRegion(zone)) return Infinity
    let earliest = Infinity
    for (const id of upstreamsOf(`${service}@${zone}`, now)) {
      const state = stateOf(id, now)
      if (state !== undefined && limitIgnoringFailures(state, now) > 0) earliest = Math.min(earliest, Math.max(now, probesAllowedFrom(state)))
    }
    return earliest
  }

  function sum (service: string, zone: string, now: number, value: (upstreamId: string) => number): number {
    if (zone !== world.self.zone && !inOwnRegion(zone)) return 0
    let total = 0
    for (const id of upstreamsOf(`${service}@${zone}`, now)) total += value(id)
    return total
  }

  return {
    limit,
    recordRefusal,
    recordCompletion: upstreamId => {
      const state = states.get(upstreamId)
      if (state === undefined) return
      state.failures = 0
      state.backoffUntil = -Infinity
    },
    recordFailure,
    free: (service, zone, now) => sum(service, zone, now, id => Math.max(0, limit(id, now) - outstanding.count(id))),
    total: (service, zone, now) => sum(service, zone, now, id => limit(id, now)),
    usableAt
  }
}
