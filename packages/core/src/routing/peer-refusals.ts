/**
 * Peers that refused forwarded work. A peer admits or refuses at once, by its own outstanding work, so after a refusal
 * its last headroom is known to be wrong, and nothing more is forwarded until it has sent a newer one. Without this
 * rule each request of an overloaded zone would be forwarded and refused before it is queued.
 */
import type { LengthClass } from '../configuration.js'
import type { Instance } from '../tables.js'

/** The newest refusal by peer, service and length class. */
export interface PeerRefusals {
  record (instanceId: string, service: string, length: LengthClass, now: number): void
  /** Whether the peer refused such work since it sent its headroom. */
  applies (instance: Instance, service: string, length: LengthClass): boolean
  /** Forgets instances that are no longer known. */
  forget (known: (instanceId: string) => boolean): void
}

/** Creates an empty record. */
export function createPeerRefusals (): PeerRefusals {
  const refusals = new Map<string, Map<string, number>>()
  return {
    record (instanceId, service, length, now) {
      const ofInstance = refusals.get(instanceId) ?? new Map<string, number>()
      refusals.set(instanceId, ofInstance.set(`${length}:${service}`, now))
    },
    applies: (instance, service, length) =>
      (refusals.get(instance.id)?.get(`${length}:${service}`) ?? -Infinity) >= instance.headroomAt,
    forget (known) {
      for (const instanceId of refusals.keys()) if (!known(instanceId)) refusals.delete(instanceId)
    }
  }
}
