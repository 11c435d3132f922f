/**
 * Converts between the heartbeat of `@arbutustray/core` and the protobuf message of the peer protocol.
 */
import type { Heartbeat } from '@arbutustray/core'
import type { Heartbeat as HeartbeatMessage } from '@arbutustray/protocol'

/** A message without the fields that are internal to the generated code. */
type MessageFields<T> = Omit<T, '$typeName' | '$unknown'>

/** The fields of the message, as `connect-es` accepts them. */
export interface HeartbeatFields extends Omit<MessageFields<HeartbeatMessage>, 'headroom' | 'sightings'> {
  headroom: Array<MessageFields<HeartbeatMessage['headroom'][number]>>
  sightings: Array<MessageFields<HeartbeatMessage['sightings'][number]>>
}

const MAX_UINT32 = 2 ** 32 - 1

/** Rounds a count or an age and clamps it to the range of `uint32`. */
function toUint32 (value: number): number {
  return Math.min(MAX_UINT32, Math.max(0, Math.round(value)))
}

/** Converts a heartbeat to the fields of its message. */
export function toHeartbeatMessage (heartbeat: Heartbeat): HeartbeatFields {
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

/** Converts a message to a heartbeat. */
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
