import { createServer } from 'node:http'
import { once } from 'node:events'
import { connect } from 'node:net'
import { expect, it, vi } from 'vitest'
import type { Event } from '@arbutustray/core'
import { createTelemetry } from '@arbutustray/telemetry'
import { createPeerClient } from '../../src/peer-client.js'
import { CONFIGURATION, sendAnswer, listen, createSettings, startConfiguredEntry, startUpstream, listedUpstream, url } from './support.js'

const TWO_ZONES = {
  ...CONFIGURATION,
  version: 9,
  zones: [{ id: 'zagreb-1', region: 'zagreb', instances: 1 }, { id: 'zagreb-2', region: 'zagreb', instances: 1 }],
  places: [{ service: 'token', zone: 'zagreb-1' }, { service: 'token', zone: 'zagreb-2' }],
  rules: [{ service: 'token', scope: 'region', shiftCap: 0.2, longShare: 0.5 }] as const
}

function peerHeaders (token: string): Record<string, string> {
  return {
    'arbutustray-peer-token': token,
    'arbutustray-forwarded-by': 'i9',
    'arbutustray-origin-zone': 'zagreb-2',
    'arbutustray-tenant': 'default',
    'arbutustray-key-home': 'false'
  }
}

it('accepts forwarded requests only with the peer token, guarding against callers that claim to be peers', async () => {
  const upstream = await startUpstream((request, response) => sendAnswer(request, response, 200, String(request.url)))
  const entry = await startConfiguredEntry([upstream])
  const target = `http://${entry.addresses.peer}/v1/forward/token/a?b=1`
  const accepted = await fetch(target, { headers: { ...peerHeaders('peer-token'), 'x-request-id': 'f1' } })
  expect([accepted.status, accepted.headers.get('x-request-id'), await accepted.text()]).toEqual([200, 'f1', '/a?b=1'])
  expect(accepted.headers.get('arbutustray-headroom')).toMatch(/^free=\d+, slots=9, queued=0$/)
  for (const token of ['', 'peer-tokem', 'peer-token-and-more']) {
    expect((await fetch(target, { headers: peerHeaders(token) })).status).toBe(401)
  }
})

it('exchanges heartbeats and passes a newer configuration to a peer, guarding against outdated instances', async () => {
  const first = await startConfiguredEntry([])
  const second = await startConfiguredEntry([], { instanceId: 'i2', zone: 'zagreb-2' })
  const row = (id: string, zone: string, entry: typeof first): unknown => ({
    id, role: 'entry', zone, address: entry.addresses.caller, peerAddress: entry.addresses.peer, state: 'live'
  })
  const entries = [row('i1', 'zagreb-1', first), row('i2', 'zagreb-2', second)]
  for (const entry of [first, second]) entry.emit({ type: 'list-received', entries: entries as never })
  first.emit({ type: 'configuration-received', configuration: TWO_ZONES, source: 'platform' })
  await vi.waitFor(() => {
    expect(second.engine.configuration()?.version).toBe(9)
    expect(second.engine.world.instances.get('i1')?.state).toBe('live')
    expect(first.engine.world.instances.get('i2')?.configurationVersion).toBe(9)
  }, { timeout: 5_000 })
})

it('forwards a request to another zone if its own has no upstream, and keeps its x-request-id and answer', async () => {
  const upstream = await startUpstream((request, response) => sendAnswer(request, response, 200, 'from zagreb-1', { 'x-balance': '3' }))
  const first = await startConfiguredEntry([])
  const second = await startConfiguredEntry([], { instanceId: 'i2', zone: 'zagreb-2' })
  const entries = [
    listedUpstream(upstream),
    ...([['i1', 'zagreb-1', first], ['i2', 'zagreb-2', second]] as const).map(([id, zone, entry]) => ({
      id, role: 'entry' as const, zone, address: entry.addresses.caller, peerAddress: entry.addresses.peer, state: 'live' as const
    }))
  ]
  for (const entry of [first, second]) {
    entry.emit({ type: 'configuration-received', configuration: TWO_ZONES, source: 'platform' })
    entry.emit({ type: 'list-received', entries })
  }
  await vi.waitFor(async () => {
    const response = await fetch(url(second, '/v1/services/token/7'), { headers: { 'x-request-id': 'mine' } })
    expect([response.status, response.headers.get('arbutustray-reason'), response.headers.get('x-request-id')])
      .toEqual([200, 'moved-zone', 'mine'])
    expect([response.headers.get('x-balance'), await response.text()]).toEqual(['3', 'from zagreb-1'])
    // The header is meant for the forwarding instance; callers must not learn the load of a zone.
    expect(response.headers.get('arbutustray-headroom')).toBe(null)
  }, { timeout: 5_000, interval: 200 })
})

it('emits peer-unreachable for a peer that does not answer, guarding against dead peers that count as live', async () => {
  const events: Event[] = []
  const telemetry = createTelemetry({ instanceId: 'i1', zone: 'z', logLevel: 'error', sampleShare: 0 })
  const silent = createServer(() => {})
  const address = await listen(silent)
  const client = createPeerClient({ peerToken: 't', configuration: () => undefined, emit: event => events.push(event), telemetry })
  const heartbeat = {
    instanceId: 'i1',
    incarnation: 'x',
    zone: 'z',
    address: 'a:1',
    peerAddress: 'a:2',
    state: 'live',
    configurationVersion: 0,
    headroom: [],
    sightings: [],
    leavingUpstreams: []
  } as const
  client.sendHeartbeat({ type: 'send-heartbeat', instanceId: 'i2', address, heartbeat })
  await vi.waitFor(() => expect(events).toEqual([{ type: 'peer-unreachable', instanceId: 'i2' }]), { timeout: 3_000 })
  client.close()
  silent.close().closeAllConnections()
  await telemetry.close()
})

it('applies back pressure to an answer whose caller does not read, guarding against unbounded buffers', async () => {
  let accepted = 0
  const upstream = await startUpstream(async (request, response) => {
    const closed = new AbortController()
    response.on('close', () => closed.abort())
    response.writeHead(200, { 'x-request-id': String(request.headers['x-request-id']) })
    for (let part = 0; part < 64; part += 1) {
      if (!response.write(Buffer.alloc(1_024 * 1_024))) await once(response, 'drain', { signal: closed.signal }).catch(() => {})
      if (response.destroyed) return
      accepted += 1
    }
    response.end()
  })
  const entry = await startConfiguredEntry([upstream], { limits: { ...createSettings().limits, idleTimeoutMs: 1_000 } })
  const socket = connect(Number(entry.addresses.caller.split(':')[1]), '127.0.0.1')
  socket.pause()
  socket.write('GET /v1/services/token/big HTTP/1.1\r\nhost: a\r\n\r\n')
  const closed = once(socket, 'close')
  await vi.waitFor(() => expect(entry.engine.world.requests.size).toBe(1))
  await vi.waitFor(() => expect(entry.engine.world.requests.size).toBe(0), { timeout: 5_000 })
  expect(accepted).toBeLessThan(48)
  socket.destroy()
  await closed
})
