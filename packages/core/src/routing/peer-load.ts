/**
 * Estimates the free slots of peers. The inputs are the headroom that a peer last reported, in a heartbeat or with its
 * answer to a forward, and the forwards of this instance that started, ended or were refused since.
 *
 * A peer admits or refuses a forward at once, so a refusal shows that it has no free slot. From then on it receives as
 * many concurrent forwards as were outstanding at the refusal, and gradually more with each one that is answered. A
 * peer without outstanding forwards is probed after a pause. Without this limit, every request of an overloaded zone
 * would be forwarded and refused before it is queued. Newer headroom ends the effect of a refusal.
 */
import type { LengthClass } from '../configuration.js'
import type { Headroom } from '../heartbeat.js'
import type { Instance } from '../tables.js'

/** Estimated slots of one service at a peer. */
export interface SlotEstimate {
  /** Negative when more requests were forwarded than the peer had free slots. */
  readonly free: number
  /** The peer refused a request of this service and length class after it last reported headroom. */
  readonly refused: boolean
  /** All slots, free or not, that the peer may use for the service in its zone. */
  readonly slots: number
  /** Requests in the queues of the peer. */
  readonly queued: number
}

/** Forwards, refusals and reported headroom by peer and service. */
export interface PeerLoad {
  /** Records that a forward to the peer started. */
  recordStart (instanceId: string, service: string): void
  /** Records that a forward to the peer ended, and whether with a whole answer. */
  recordEnd (instanceId: string, service: string, answered: boolean): void
  /** Records a heartbeat. The headroom in it takes the forwards that are outstanding now into account. */
  recordHeartbeat (instanceId: string): void
  /** Records the headroom for one service that the peer sent with its answer to a forward. */
  recordAnswerHeadroom (instanceId: string, headroom: Headroom, now: number): void
  recordRefusal (instanceId: string, service: string, length: LengthClass, now: number): void
  estimateSlots (instance: Instance, service: string, length: LengthClass, now: number): SlotEstimate
  /** Drops the records of instances that are no longer known. */
  prune (isKnown: (instanceId: string) => boolean): void
}

/** Growth of the limit on concurrent forwards to a peer that refused, per answered forward. */
const LIMIT_GROWTH_PER_ANSWER = 0.1
/** Time after a refusal until a peer without outstanding forwards gets another one. */
const PROBE_DELAY_MS = 100

interface Refusal {
  readonly refusedAt: number
  /** Limit on concurrent forwards; only whole ones count. */
  forwardLimit: number
}

interface AnswerHeadroom {
  readonly headroom: Headroom
  readonly receivedAt: number
}

interface PeerServiceLoad {
  outstanding: number
  /** `outstanding` when the newest headroom was received. */
  outstandingAtHeadroom: number
  /** Newest headroom that came with an answer to a forward. */
  answerHeadroom: AnswerHeadroom | undefined
  readonly refusals: Map<LengthClass, Refusal>
}

const NO_HEADROOM = { free: 0, slots: 0, queued: 0 }

/** Returns the headroom from the last heartbeat or from the last answer, whichever was received later. */
function newestHeadroom (
  instance: Instance, service: string, load: PeerServiceLoad | undefined
): { readonly headroom: Headroom | undefined, readonly receivedAt: number } {
  if (load?.answerHeadroom !== undefined && load.answerHeadroom.receivedAt > instance.headroomAt) return load.answerHeadroom
  return { headroom: instance.headroom.get(service), receivedAt: instance.headroomAt }
}

/** Creates a peer load without records. */
export function createPeerLoad (): PeerLoad {
  const peers = new Map<string, Map<string, PeerServiceLoad>>()

  function getOrCreateLoad (instanceId: string, service: string): PeerServiceLoad {
    let loads = peers.get(instanceId)
    if (loads === undefined) peers.set(instanceId, loads = new Map())
    let load = loads.get(service)
    if (load === undefined) loads.set(service, load = { outstanding: 0, outstandingAtHeadroom: 0, answerHeadroom: undefined, refusals: new Map() })
    return load
  }

  return {
    recordStart: (instanceId, service) => { getOrCreateLoad(instanceId, service).outstanding += 1 },
    recordEnd: (instanceId, service, answered) => {
      const load = getOrCreateLoad(instanceId, service)
      load.outstanding = Math.max(0, load.outstanding - 1)
      if (answered) for (const refusal of load.refusals.values()) refusal.forwardLimit += LIMIT_GROWTH_PER_ANSWER
    },
    recordHeartbeat: instanceId => {
      for (const load of peers.get(instanceId)?.values() ?? []) load.outstandingAtHeadroom = load.outstanding
    },
    recordAnswerHeadroom: (instanceId, headroom, now) => {
      const load = getOrCreateLoad(instanceId, headroom.service)
      load.answerHeadroom = { headroom, receivedAt: now }
      load.outstandingAtHeadroom = load.outstanding
    },
    recordRefusal: (instanceId, service, length, now) => {
      const load = getOrCreateLoad(instanceId, service)
      load.refusals.set(length, { refusedAt: now, forwardLimit: load.outstanding })
    },
    estimateSlots: (instance, service, length, now) => {
      const load = peers.get(instance.id)?.get(service)
      const { headroom, receivedAt } = newestHeadroom(instance, service, load)
      const { free: reportedFree, slots, queued } = headroom ?? NO_HEADROOM
      if (load === undefined) return { free: reportedFree, refused: false, slots, queued }
      const refusal = load.refusals.get(length)
      if (refusal === undefined || refusal.refusedAt < receivedAt) {
        return { free: reportedFree - (load.outstanding - load.outstandingAtHeadroom), refused: false, slots, queued }
      }
      const limit = load.outstanding === 0 && now - refusal.refusedAt >= PROBE_DELAY_MS
        ? 1
        : Math.floor(refusal.forwardLimit)
      return { free: limit - load.outstanding, refused: true, slots, queued }
    },
    prune: isKnown => {
      for (const instanceId of peers.keys()) if (!isKnown(instanceId)) peers.delete(instanceId)
    }
  }
}
