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
const GROWTH_MS = 500
/** Time after a refusal in which a limit does not grow. */
const GROWTH_STOP_MS = 2_000
/** Failures in a row from which an upstream counts as dead. Fewer occur when it restarts its listener. */
const DEAD_FAILURES = 3
/** First and longest pause after a failure. */
const PAUSE_MS = 20
const PAUSE_MOST_MS = 1_000
/** Rows are dropped of upstreams that are no longer listed when there are more rows than this. */
const PRUNE_AT = 1_000

/** What the limit of one upstream is made from. */
interface Row {
  /** The inputs that the fields below were read from. */
  upstream: Upstream
  configuration: Configuration | undefined
  presence: Presence | undefined
  /** Absent when the service or the zone is not configured, or the upstream is drained. */
  service: Service | undefined
  configuredInstances: number
  own: boolean
  share: number
  /** Difference between limit and share: above 0 while others are absent, below 0 after refusals. */
  extra: number
  /** Time from which the next slot of growth is counted. */
  growthFrom: number
  /** `returns` of the zone's presence when `extra` was last updated. */
  returns: number
  /** Failures since the last completion; those during a pause count as one. */
  failures: number
  pausedUntil: number
}

/** Creates the slot limits of one instance. */
export function createSlotLimits (world: World, outstanding: Outstanding): SlotLimits {
  const configuration = createConfigurationIndex(world)
  const presenceOf = createZonePresence(world, configuration)
  const shareOf = createSlotShare(world.self.id)
  const upstreamsOf = createGroupIndex(world.upstreams, row => `${row.service}@${row.zone}`)
  const rows = new Map<string, Row>()

  function inRegion (zone: string): boolean {
    const region = configuration.zone(world.self.zone)?.region
    return region !== undefined && configuration.zone(zone)?.region === region
  }

  function createRow (upstream: Upstream): Row {
    if (rows.size >= PRUNE_AT) for (const id of rows.keys()) if (!world.upstreams.has(id)) rows.delete(id)
    const row: Row = {
      upstream,
      configuration: undefined,
      presence: undefined,
      service: undefined,
      configuredInstances: 0,
      own: upstream.zone === world.self.zone,
      share: 0,
      extra: 0,
      growthFrom: upstream.listedAt,
      returns: -1,
      failures: 0,
      pausedUntil: -Infinity
    }
    rows.set(upstream.id, row)
    return row
  }

  function refresh (row: Row, upstream: Upstream): void {
    const zone = configuration.zone(upstream.zone)
    const usable = zone !== undefined && !configuration.drained(upstream) && (row.own || inRegion(upstream.zone))
    row.upstream = upstream
    row.configuration = world.configuration
    row.presence = undefined
    row.service = usable ? configuration.service(upstream.service) : undefined
    row.configuredInstances = zone?.instances ?? 0
  }

  /** The row of a live, configured upstream that is not drained, with its share. */
  function rowOf (upstreamId: string, now: number): Row | undefined {
    const upstream = world.upstreams.get(upstreamId)
    if (upstream === undefined || upstream.state !== 'live') return undefined
    const row = rows.get(upstreamId) ?? createRow(upstream)
    if (row.upstream !== upstream || row.configuration !== world.configuration) refresh(row, upstream)
    if (row.service === undefined) return undefined
    const presence = presenceOf(upstream.zone, now)
    if (row.presence !== presence) {
      row.presence = presence
      row.share = row.own ? shareOf(upstreamId, row.service.slots, row.configuredInstances, presence) : 0
    }
    return row
  }

  /** Adds the slots that have grown since `growthFrom`, at most `room`. */
  function grow (row: Row, room: number, now: number): void {
    const steps = Math.floor((now - row.growthFrom) / GROWTH_MS)
    if (steps <= 0) return
    row.extra += Math.min(steps, room)
    // Time at the highest limit is not credited to a later growth.
    row.growthFrom = steps > room ? now : row.growthFrom + steps * GROWTH_MS
  }

  function update (row: Row, service: Service, presence: Presence, now: number): void {
    const growsSince = row.own ? presence.absentSince : presence.allAbsentSince
    if (row.returns !== presence.returns) {
      row.returns = presence.returns
      if (row.extra > 0) row.growthFrom = Math.max(row.growthFrom, now)
      row.extra = Math.min(0, row.extra)
    }
    // A limit below the share recovers at the same pace, whoever is absent.
    if (row.extra < 0) grow(row, -row.extra, now)
    if (row.extra < 0) return
    if (growsSince === undefined || growsSince > now) {
      row.extra = 0
      return
    }
    row.growthFrom = Math.max(row.growthFrom, growsSince)
    row.extra = Math.min(row.extra, service.slots - row.share)
    grow(row, service.slots - row.share - row.extra, now)
  }

  /** Highest limit of an upstream that was listed a short time ago; it rises linearly from one. */
  function rampOf (row: Row, service: Service, now: number): number {
    const age = now - row.upstream.listedAt
    if (age >= service.coldStartMs) return Infinity
    const target = row.own ? row.share : service.slots
    return Math.min(target, 1 + Math.floor((target - 1) * age / service.coldStartMs))
  }

  /** Without the effect of failures. */
  function slotsOf (row: Row, now: number): number {
    if (row.service === undefined || row.presence === undefined) return 0
    update(row, row.service, row.presence, now)
    return Math.min(row.share + row.extra, rampOf(row, row.service, now))
  }

  function limit (upstreamId: string, now: number): number {
    const row = rowOf(upstreamId, now)
    if (row === undefined) return 0
    const slots = slotsOf(row, now)
    if (row.failures === 0) return slots
    return now < probesFrom(row) ? 0 : Math.min(1, slots)
  }

  /** Time from which an upstream that failed may be probed. */
  function probesFrom (row: Row): number {
    return row.failures >= DEAD_FAILURES ? row.pausedUntil : -Infinity
  }

  function recordRefusal (upstreamId: string, now: number): void {
    const row = rowOf(upstreamId, now)
    if (row === undefined) return
    // At least one slot stays for the own zone's upstreams, so that a recovery is noticed.
    row.extra = Math.max(Math.min(1, row.share), slotsOf(row, now) - 1) - row.share
    row.growthFrom = now + GROWTH_STOP_MS
  }

  function recordFailure (upstreamId: string, now: number): void {
    const row = rows.get(upstreamId)
    if (row === undefined || now < row.pausedUntil) return
    row.pausedUntil = now + Math.min(PAUSE_MOST_MS, PAUSE_MS * 2 ** row.failures)
    // The exponent stays small, so that the product stays finite.
    row.failures = Math.min(row.failures + 1, PAUSE_MOST_MS)
  }

  function usableAt (service: string, zone: string, now: number): number {
    if (zone !== world.self.zone && !inRegion(zone)) return Infinity
    let earliest = Infinity
    for (const id of upstreamsOf(`${service}@${zone}`, now)) {
      const row = rowOf(id, now)
      if (row !== undefined && slotsOf(row, now) > 0) earliest = Math.min(earliest, Math.max(now, probesFrom(row)))
    }
    return earliest
  }

  function sum (service: string, zone: string, now: number, value: (upstreamId: string) => number): number {
    if (zone !== world.self.zone && !inRegion(zone)) return 0
    let total = 0
    for (const id of upstreamsOf(`${service}@${zone}`, now)) total += value(id)
    return total
  }

  return {
    limit,
    recordRefusal,
    recordCompletion: upstreamId => {
      const row = rows.get(upstreamId)
      if (row === undefined) return
      row.failures = 0
      row.pausedUntil = -Infinity
    },
    recordFailure,
    free: (service, zone, now) => sum(service, zone, now, id => Math.max(0, limit(id, now) - outstanding.count(id))),
    total: (service, zone, now) => sum(service, zone, now, id => limit(id, now)),
    usableAt
  }
}
