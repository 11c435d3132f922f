/**
 * Free slots of peers, from their last headroom, the forwards of this instance that started and ended since, and
 * refusals. A peer admits or refuses at once by its own outstanding work, so after a refusal it is known to have no
 * free slot. It is then used again as far as forwards to it end, and a little more with each that was answered; one
 * that has none is tried again after a pause. Without this rule each request of an overloaded zone would be forwarded
 * and refused before it is queued. New headroom replaces what the refusals said.
 */
import type { LengthClass } from '../configuration.js'
import type { Instance } from '../tables.js'

/** What is known of a peer's slots. */
export interface FreeSlots {
  /** Negative when more was forwarded than the peer had free slots. */
  readonly free: number
  /** The peer refused such work since its last headroom. */
  readonly refused: boolean
}

/** Forwards and refusals by peer and service. */
export interface PeerLoad {
  recordStart (instanceId: string, service: string): void
  recordEnd (instanceId: string, service: string, answered: boolean): void
  /** New headroom of the peer has arrived; it includes the forwards that are outstanding now. */
  recordHeadroom (instanceId: string): void
  recordRefusal (instanceId: string, service: string, length: LengthClass, now: number): void
  freeSlots (instance: Instance, service: string, length: LengthClass, now: number): FreeSlots
  /** Drops instances that are no longer known. */
  forget (known: (instanceId: string) => boolean): void
}

/** Additional slots that are tried after a refusal with each forward that was answered. */
const GROWTH = 0.1
/** Time after which a peer without forwards is tried again, in milliseconds. */
const PROBE_AFTER_MS = 100

interface Refusal {
  readonly at: number
  /** Forwards that the peer is expected to admit at a time. */
  admitted: number
}

interface Row {
  outstanding: number
  /** `outstanding` when the last headroom arrived. */
  atHeadroom: number
  readonly refusals: Map<LengthClass, Refusal>
}

/** Creates an empty record. */
export function createPeerLoad (): PeerLoad {
  const peers = new Map<string, Map<string, Row>>()

  function rowOf (instanceId: string, service: string): Row {
    let rows = peers.get(instanceId)
    if (rows === undefined) peers.set(instanceId, rows = new Map())
    let row = rows.get(service)
    if (row === undefined) rows.set(service, row = { outstanding: 0, atHeadroom: 0, refusals: new Map() })
    return row
  }

  return {
    recordStart: (instanceId, service) => { rowOf(instanceId, service).outstanding += 1 },
    recordEnd: (instanceId, service, answered) => {
      const row = rowOf(instanceId, service)
      row.outstanding = Math.max(0, row.outstanding - 1)
      if (answered) for (const refusal of row.refusals.values()) refusal.admitted += GROWTH
    },
    recordHeadroom: instanceId => {
      for (const row of peers.get(instanceId)?.values() ?? []) row.atHeadroom = row.outstanding
    },
    recordRefusal: (instanceId, service, length, now) => {
      const row = rowOf(instanceId, service)
      row.refusals.set(length, { at: now, admitted: row.outstanding })
    },
    freeSlots: (instance, service, length, now) => {
      const stated = instance.headroom.get(service)?.free ?? 0
      const row = peers.get(instance.id)?.get(service)
      if (row === undefined) return { free: stated, refused: false }
      const refusal = row.refusals.get(length)
      if (refusal === undefined || refusal.at < instance.headroomAt) {
        return { free: stated - (row.outstanding - row.atHeadroom), refused: false }
      }
      const admitted = row.outstanding === 0 && now - refusal.at >= PROBE_AFTER_MS ? 1 : Math.floor(refusal.admitted)
      return { free: admitted - row.outstanding, refused: true }
    },
    forget: known => {
      for (const instanceId of peers.keys()) if (!known(instanceId)) peers.delete(instanceId)
    }
  }
}
