/**
 * Conversion between the decision package's heartbeat and its message.
 */
import type { Heartbeat } from '@arbutustray/core'
import type { Heartbeat as HeartbeatMessage } from '@arbutustray/protocol'

/** A message without the fields that only the generated code needs. */
type MessageFields<T> = Omit<T, '$typeName' | '$unknown'>

/** The fields of the message, as `connect-es` accepts them. */
export interface HeartbeatFields extends Omit<MessageFields<HeartbeatMessage>, 'headroom' | 'sightings'> {
  headroom: Array<MessageFields<HeartbeatMessage['headroom'][number]>>
  sightings: Array<MessageFields<HeartbeatMessage['sightings'][number]>>
}

const MAX_UINT32 = 2 ** 32 - 1

/** Counts and ages as the wire has them: whole, not negative, and capped. */
function toUint32 (value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(value)))
}

/** Fields of the message for a heartbeat. */
export function toMessage (heartbeat: Heartbeat): HeartbeatFields {
  const { state, headroom, sightings, leavingUpstreams, ...rest } = heartbeat
  return {
    ...rest,
    leaving: state === 'leaving',
    headroom: headroom.map(row => ({
      service: row.service, free: toUint32(row.free), slots: toUint32(row.slots), queued: toUint32(row.queued)
    })),
    sightings: sightings.map(({ state, ageMs, ...row }) => ({ ...row, leaving: state === 'leaving', ageMs: toUint32(ageMs) })),
    leavingUpstreams: [...leavingUpstreams]
  }
}

/** The heartbeat that a message holds. */
export function fromHeartbeatMessage (message: HeartbeatMessage): Heartbeat {
  const { instanceId, incarnation, zone, address, peerAddress, configurationVersion } = message
  return {
    instanceId,
    incarnation,
    zone,
    address,
    peerAddress,
    configurationVersion,
    state: message.leaving ? 'leaving' : 'live',
    headroom: message.headroom.map(({ service, free, slots, queued }) => ({ service, free, slots, queued })),
    sightings: message.sightings.map(row => ({
      instanceId: row.instanceId,
      incarnation: row.incarnation,
      zone: row.zone,
      address: row.address,
      peerAddress: row.peerAddress,
      state: row.leaving ? 'leaving' : 'live',
      ageMs: row.ageMs
    })),
    leavingUpstreams: message.leavingUpstreams
  }
}
