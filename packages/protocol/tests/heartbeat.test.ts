import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { expect, it } from 'vitest'
import { HeartbeatSchema } from '../src/index.js'

it('encodes and decodes a heartbeat without losing a field', () => {
  const heartbeat = create(HeartbeatSchema, {
    instanceId: 'i1',
    incarnation: 'x',
    zone: 'z1',
    configurationVersion: 7,
    headroom: [{ service: 'token', free: 3, slots: 9 }],
    leavingUpstreams: ['u1']
  })
  expect(fromBinary(HeartbeatSchema, toBinary(HeartbeatSchema, heartbeat))).toEqual(heartbeat)
})
