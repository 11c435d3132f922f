/**
 * Limits the slots of each upstream that this instance may use, so that the entry instances together stay within the
 * slots of the upstream without coordination:
 *
 * - For an upstream in its own zone, an instance starts from its share of the slots. The limit grows one slot at a time
 *   while at least one entry instance of the zone is absent.
 * - For an upstream in another zone of its region, it starts from 0. The limit grows one slot at a time while all entry
 *   instances of that zone are absent.
 * - Every refusal by the upstream lowers the limit by one.
 * - After a failure the limit is at most 1 until an attempt completes. Attempts in that time are called probes.
 *
 * Limits of two instances may overlap for a while; this is safe because an upstream without a free slot refuses before
 * it runs the request.
 */
import type { Configuration, Service } from '../configuration.js'
import type { Upstream, World } from '../tables.js'
import type { OutstandingAttempts } from './outstanding-attempts.js'
import type { Presence } from './zone-presence.js'
import { createConfigurationIndex } from './configuration-index.js'
import { createGroupIndex } from './group-index.js'
import { createSlotShare } from './slot-share.js'
import { createZonePresence } from './zone-presence.js'

/** Slot limits of this instance. Callers report how attempts end. Times are monotonic milliseconds. */
export interface SlotLimits {
  /**
   * Slots of the upstream that this instance may use now. 0 for an unknown, leaving or drained upstream, one in another
   * region or of an unconfigured service, during the backoff of a dead upstream, and if share and growth add up to 0.
   */
  readonly limit: (upstreamId: string, now: number) => number
  /** Records that the upstream refused an attempt before running it. */
  readonly recordRefusal: (upstreamId: string, now: number) => void
  /** Records that the upstream finished an attempt. Ends the effect of earlier failures. */
  readonly recordCompletion: (upstreamId: string, now: number) => void
  /**
   * Records that an attempt at the upstream failed or could not connect. Until the next completion the limit is at most
   * 1, for probes; from the third failure on it is 0 during an exponential backoff. The upstream selector calls it.
   * Optional, because an implementation may leave out the effect of failures.
   */
  readonly recordFailure?: (upstreamId: string, now: number) => void
  /** Free slots of a service in a zone: the sum of the limits less the outstanding attempts of each upstream. */
  readonly free: (service: string, zone: string, now: number) => number
  /** Sum of the limits of a service in a zone. */
  readonly total: (service: string, zone: string, now: number) => number
  /**
   * Earliest time at which an upstream of the service in the zone is not blocked by a backoff. Upstreams whose limit is
   * 0 for another reason are ignored, even if the limit is about to grow; `Infinity` if no other upstream is left.
   */
  readonly usableAt: (service: string, zone: string, now: number) => number
}

/** Interval at which a limit grows by one slot. */
const GROWTH_INTERVAL_MS = 500
/** Time after a refusal during which a limit does not grow. */
const GROWTH_PAUSE_AFTER_REFUSAL_MS = 2_000
/** Consecutive failures after which an upstream counts as dead. An upstream that reopens its port causes fewer. */
const DEAD_AFTER_FAILURES = 3
/**
 * First and longest backoff after a failure. It doubles from the first failure on. The limit is 0 during a backoff only
 * when the upstream counts as dead; earlier backoffs only keep further failures from being counted. The upstream
 * selector has a backoff of its own, which blocks an upstream from the first refusal or failure on.
 */
const MIN_FAILURE_BACKOFF_MS = 20
const MAX_FAILURE_BACKOFF_MS = 1_000
/** At this number of states, those of upstreams that are no longer listed are dropped. */
const MAX_STATES_BEFORE_PRUNE = 1_000

/** State from which the limit of one upstream is computed. */
interface LimitState {
  /** `service`, `configuredInstances` and `share` are recomputed when one of these three inputs is replaced. */
  upstream: Upstream
  configuration: Configuration | undefined
  presence: Presence | undefined
  /** Undefined when service or zone are not configured, the upstream is drained, or its zone is in another region. */
  service: Service | undefined
  configuredInstances: number
  inOwnZone: boolean
  /** This instance's share of the slots; 0 outside its zone. */
  share: number
  /** Difference between limit and share: above 0 while other instances are absent, below 0 after refusals. */
  adjustment: number
  /** Start of the current growth interval. In the future while growth is stopped after a refusal. */
  growthStart: number
  /** `returnCount` of the zone's presence when `adjustment` was last updated. */
  returnCount: number
  /** Failures since the last completion. Those during a backoff are not counted. */
  failures: number
  backoffUntil: number
}

/** Creates the slot limits of one instance. */
export function createSlotLimits (world: World, outstanding: OutstandingAttempts): SlotLimits {
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

  /** State of a live, configured upstream that is not drained, with its share up to date; else undefined. */
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

  /** Adds one slot per interval since `growthStart`, at most `maxGrowth`. */
  function grow (state: LimitState, maxGrowth: number, now: number): void {
    const steps = Math.floor((now - state.growthStart) / GROWTH_INTERVAL_MS)
    if (steps <= 0) return
    state.adjustment += Math.min(steps, maxGrowth)
    // Time spent at the highest limit does not count towards later growth.
    state.growthStart = steps > maxGrowth ? now : state.growthStart + steps * GROWTH_INTERVAL_MS
  }

  /** Applies the growth up to `now`, and removes it when an absent instance has returned. */
  function updateAdjustment (state: LimitState, service: Service, presence: Presence, now: number): void {
    const growthAllowedSince = state.inOwnZone ? presence.absentSince : presence.allAbsentSince
    if (state.returnCount !== presence.returnCount) {
      state.returnCount = presence.returnCount
      if (state.adjustment > 0) state.growthStart = Math.max(state.growthStart, now)
      state.adjustment = Math.min(0, state.adjustment)
    }
    // A limit below the share recovers at the same rate, whether or not other instances are absent.
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

  /** Slow start: the limit of an upstream that was listed within `coldStartMs` rises linearly from 1. */
  function slowStartLimit (state: LimitState, service: Service, now: number): number {
    const age = now - state.upstream.listedAt
    if (age >= service.coldStartMs) return Infinity
    const target = state.inOwnZone ? state.share : service.slots
    return Math.min(target, 1 + Math.floor((target - 1) * age / service.coldStartMs))
  }

  /** Limit without the effect of failures. */
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

  /** Time from which an upstream with failures may get a probe. */
  function probesAllowedFrom (state: LimitState): number {
    return state.failures >= DEAD_AFTER_FAILURES ? state.backoffUntil : -Infinity
  }

  function recordRefusal (upstreamId: string, now: number): void {
    const state = stateOf(upstreamId, now)
    if (state === undefined) return
    // An upstream of the own zone keeps at least one slot, so that its recovery is noticed.
    state.adjustment = Math.max(Math.min(1, state.share), limitIgnoringFailures(state, now) - 1) - state.share
    state.growthStart = now + GROWTH_PAUSE_AFTER_REFUSAL_MS
  }

  function recordFailure (upstreamId: string, now: number): void {
    const state = states.get(upstreamId)
    if (state === undefined || now < state.backoffUntil) return
    state.backoffUntil = now + Math.min(MAX_FAILURE_BACKOFF_MS, MIN_FAILURE_BACKOFF_MS * 2 ** state.failures)
    // Bounds the exponent, so that the product stays finite. The bound is a count that only reuses the number of the
    // constant; the backoff reaches its maximum after a few failures.
    state.failures = Math.min(state.failures + 1, MAX_FAILURE_BACKOFF_MS)
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

  /** Sum of `value` over the service's upstreams in the zone; 0 for a zone of another region. */
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
