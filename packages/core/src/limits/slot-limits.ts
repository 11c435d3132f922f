/**
 * Limits on the slots of each upstream that this instance may use. The limit is the instance's share of the slots.
 * While other instances that own shares are absent it grows one slot at a time, and every refusal by the upstream
 * lowers it. Two instances that use the same slot do no harm, because the upstream refuses before it runs the request.
 */
import type { Service } from '../configuration.js'
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
  /** The upstream finished an attempt. Brings the limit up to `now`; it neither raises nor lowers it by itself. */
  readonly recordCompletion: (upstreamId: string, now: number) => void
  /** Free slots of a service in a zone, within the limits. */
  readonly free: (service: string, zone: string, now: number) => number
  /** Sum of the limits of a service in a zone. */
  readonly total: (service: string, zone: string, now: number) => number
}

/** Time in which a limit grows by one slot. */
const GROWTH_MS = 500
/** Time after a refusal in which a limit does not grow. */
const GROWTH_STOP_MS = 2_000
/** Adjustments are dropped for upstreams that are no longer listed when there are more rows than this. */
const PRUNE_AT = 1_000

/** Difference between an upstream's limit and the share. */
interface Adjustment {
  /** Above 0 while others are absent, below 0 after refusals. */
  slots: number
  /** Time from which the next slot of growth is counted. */
  growthFrom: number
  /** `returns` of the zone's presence when the adjustment was last updated. */
  returns: number
}

/** The inputs of one upstream's limit. */
interface Basis {
  readonly upstream: Upstream
  readonly service: Service
  readonly presence: Presence
  readonly share: number
  readonly growsSince: number | undefined
}

/** Creates the slot limits of one instance. */
export function createSlotLimits (world: World, outstanding: Outstanding): SlotLimits {
  const configuration = createConfigurationIndex(world)
  const presenceOf = createZonePresence(world, configuration)
  const shareOf = createSlotShare(world.self.id)
  const upstreamsOf = createGroupIndex(world.upstreams, row => `${row.service}@${row.zone}`)
  const adjustments = new Map<string, Adjustment>()

  /** Whether this instance may use upstreams of the zone at all now. */
  function usable (zone: string, now: number): boolean {
    if (zone === world.self.zone) return true
    const region = configuration.zone(world.self.zone)?.region
    if (region === undefined || configuration.zone(zone)?.region !== region) return false
    const since = presenceOf(zone, now).allAbsentSince
    return since !== undefined && since <= now
  }

  function basisOf (upstreamId: string, now: number): Basis | undefined {
    const upstream = world.upstreams.get(upstreamId)
    if (upstream === undefined || upstream.state !== 'live' || !usable(upstream.zone, now)) return undefined
    const service = configuration.service(upstream.service)
    const zone = configuration.zone(upstream.zone)
    if (service === undefined || zone === undefined || configuration.drained(upstream)) return undefined
    const presence = presenceOf(upstream.zone, now)
    const own = upstream.zone === world.self.zone
    return {
      upstream,
      service,
      presence,
      share: own ? shareOf(upstreamId, service.slots, zone.instances, presence) : 0,
      growsSince: own ? presence.absentSince : presence.allAbsentSince
    }
  }

  function prune (): void {
    if (adjustments.size < PRUNE_AT) return
    for (const id of adjustments.keys()) if (!world.upstreams.has(id)) adjustments.delete(id)
  }

  function adjustmentOf (basis: Basis): Adjustment {
    let row = adjustments.get(basis.upstream.id)
    if (row === undefined) {
      prune()
      row = { slots: 0, growthFrom: basis.upstream.listedAt, returns: basis.presence.returns }
      adjustments.set(basis.upstream.id, row)
    }
    return row
  }

  /** Adds the slots that have grown since `growthFrom`, at most `room`. */
  function grow (row: Adjustment, room: number, now: number): void {
    const steps = Math.floor((now - row.growthFrom) / GROWTH_MS)
    if (steps <= 0) return
    row.slots += Math.min(steps, room)
    // Time at the highest limit is not credited to a later growth.
    row.growthFrom = steps > room ? now : row.growthFrom + steps * GROWTH_MS
  }

  function update (basis: Basis, now: number): Adjustment {
    const row = adjustmentOf(basis)
    const { presence, growsSince, share } = basis
    if (row.returns !== presence.returns) {
      row.returns = presence.returns
      if (row.slots > 0) row.growthFrom = Math.max(row.growthFrom, now)
      row.slots = Math.min(0, row.slots)
    }
    // A limit below the share recovers at the same pace, whoever is absent.
    if (row.slots < 0) grow(row, -row.slots, now)
    if (row.slots < 0) return row
    if (growsSince === undefined || growsSince > now) {
      row.slots = 0
      row.growthFrom = Math.max(row.growthFrom, now)
      return row
    }
    row.growthFrom = Math.max(row.growthFrom, growsSince)
    row.slots = Math.min(row.slots, basis.service.slots - share)
    grow(row, basis.service.slots - share - row.slots, now)
    return row
  }

  /** Highest limit of an upstream that was listed a short time ago; it rises linearly from one. */
  function rampOf (basis: Basis, now: number): number {
    const { service, upstream } = basis
    const age = now - upstream.listedAt
    if (age >= service.coldStartMs) return Infinity
    const target = upstream.zone === world.self.zone ? basis.share : service.slots
    return Math.min(target, 1 + Math.floor((target - 1) * age / service.coldStartMs))
  }

  function limit (upstreamId: string, now: number): number {
    const basis = basisOf(upstreamId, now)
    if (basis === undefined) return 0
    return Math.min(basis.share + update(basis, now).slots, rampOf(basis, now))
  }

  function recordRefusal (upstreamId: string, now: number): void {
    const basis = basisOf(upstreamId, now)
    if (basis === undefined) return
    const row = update(basis, now)
    // At least one slot stays for the own zone's upstreams, so that a recovery is noticed.
    const least = Math.min(1, basis.share)
    const current = Math.min(basis.share + row.slots, rampOf(basis, now))
    row.slots = Math.max(least, current - 1) - basis.share
    row.growthFrom = now + GROWTH_STOP_MS
  }

  function sum (service: string, zone: string, now: number, value: (upstreamId: string) => number): number {
    if (!usable(zone, now)) return 0
    let total = 0
    for (const id of upstreamsOf(`${service}@${zone}`, now)) total += value(id)
    return total
  }

  return {
    limit,
    recordRefusal,
    recordCompletion: (upstreamId, now) => {
      limit(upstreamId, now)
    },
    free: (service, zone, now) => sum(service, zone, now, id => Math.max(0, limit(id, now) - outstanding.count(id))),
    total: (service, zone, now) => sum(service, zone, now, id => limit(id, now))
  }
}
