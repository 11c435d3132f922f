/**
 * Free slots of peers, from their last headroom (heartbeats and answers to forwards carry it), the forwards of this instance that started and ended since, and
 * refusals. A peer admits or refuses at once by its own outstanding work, so after a refusal it is known to have no
 * free slot. It is then used again as far as forwards to it end, and a little more with each that was answered; one
 * that has none is tried again after a pause. Without this rule each request of an overloaded zone would be forwarded
 * and refused before it is queued. New headroom replaces what the refusals said.
 */
import type { LengthClass } from '../configuration.js'
import type { Headroom } from '../heartbeat.js'
import type { Instance } from '../tables.js'

/** What is known of a peer's slots. */
export interface SlotEstimate {
  /** Negative when more was forwarded than the peer had free slots. */
  readonly free: number
  /** The peer refused such work since its last headroom. */
  readonly refused: boolean
  /** All slots of the service in the peer's zone that the peer may use. */
  readonly slots: number
  /** Requests that wait at the peer. */
  readonly queued: number
}

/** Forwards and refusals by peer and service. */
export interface PeerLoad {
  recordStart (instanceId: string, service: string): void
  recordEnd (instanceId: string, service: string, answered: boolean): void
  /** New headroom of the peer has arrived; it includes the forwards that are outstanding now. */
  recordHeartbeat (instanceId: string): void
  /** An answer to a forward carried the peer's headroom for one service. */
  recordAnswerHeadroom (instanceId: string, headroom: Headroom, now: number): void
  recordRefusal (instanceId: string, service: string, length: LengthClass, now: number): void
  estimateSlots (instance: Instance, service: string, length: LengthClass, now: number): SlotEstimate
  /** Drops instances that are no longer known. */
  prune (isKnown: (instanceId: string) => boolean): void
}

/** Additional slots that are tried after a refusal with each forward that was answered. */
const ADMITTED_PER_ANSWER = 0.1
/** Time after which a peer without forwards is tried again, in milliseconds. */
const PROBE_DELAY_MS = 100

interface Refusal {
  readonly refusedAt: number
  /** Forwards that the peer is expected to admit at a time. */
  admitted: number
}

interface AnswerHeadroom {
  readonly headroom: Headroom
  readonly receivedAt: number
}

interface ServiceLoad {
  outstanding: number
  /** `outstanding` when the last headroom arrived. */
  outstandingAtHeadroom: number
  /** Headroom that came with an answer. */
  answerHeadroom: AnswerHeadroom | undefined
  readonly refusals: Map<LengthClass, Refusal>
}

const NO_HEADROOM = { free: 0, slots: 0, queued: 0 }

/** The newer one of the headroom from heartbeats and from answers. */
function newestHeadroom (
  instance: Instance, service: string, row: ServiceLoad | undefined
): { readonly headroom: Headroom | undefined, readonly receivedAt: number } {
  if (row?.answerHeadroom !== undefined && row.answerHeadroom.receivedAt > instance.headroomAt) return row.answerHeadroom
  return { headroom: instance.headroom.get(service), receivedAt: instance.headroomAt }
}

/** Creates an empty record. */
export function createPeerLoad (): PeerLoad {
  const peers = new Map<string, Map<string, ServiceLoad>>()

  function rowOf (instanceId: string, service: string): ServiceLoad {
    let rows = peers.get(instanceId)
    if (rows === undefined) peers.set(instanceId, rows = new Map())
    let row = rows.get(service)
    if (row === undefined) rows.set(service, row = { outstanding: 0, outstandingAtHeadroom: 0, answerHeadroom: undefined, refusals: new Map() })
    return row
  }

  return {
    recordStart: (instanceId, service) => { rowOf(instanceId, service).outstanding += 1 },
    recordEnd: (instanceId, service, answered) => {
      const row = rowOf(instanceId, service)
      row.outstanding = Math.max(0, row.outstanding - 1)
      if (answered) for (const refusal of row.refusals.values()) refusal.admitted += ADMITTED_PER_ANSWER
    },
    recordHeartbeat: instanceId => {
      for (const row of peers.get(instanceId)?.values() ?? []) row.outstandingAtHeadroom = row.outstanding
    },
    recordAnswerHeadroom: (instanceId, headroom, now) => {
      const row = rowOf(instanceId, headroom.service)
      row.answerHeadroom = { headroom, receivedAt: now }
      row.outstandingAtHeadroom = row.outstanding
    },
    recordRefusal: (instanceId, service, length, now) => {
      const row = rowOf(instanceId, service)
      row.refusals.set(length, { refusedAt: now, admitted: row.outstanding })
    },
    estimateSlots: (instance, service, length, now) => {
      const row = peers.get(instance.id)?.get(service)
      const { headroom, receivedAt } = newestHeadroom(instance, service, row)
      const { free: reportedFree, slots, queued } = headroom ?? NO_HEADROOM
      if (row === undefined) return { free: reportedFree, refused: false, slots, queued }
      const refusal = row.refusals.get(length)
      if (refusal === undefined || refusal.refusedAt < receivedAt) {
        return { free: reportedFree - (row.outstanding - row.outstandingAtHeadroom), refused: false, slots, queued }
      }
      const admitted = row.outstanding === 0 && now - refusal.refusedAt >= PROBE_DELAY_MS ? 1 : Math.floor(refusal.admitted)
      return { free: admitted - row.outstanding, refused: true, slots, queued }
    },
    prune: isKnown => {
      for (const instanceId of peers.keys()) if (!isKnown(instanceId)) peers.delete(instanceId)
    }
  }
}
