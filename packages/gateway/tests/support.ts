import type { Deployment, UpstreamEntry } from '@arbutustray/steering'
import type { RequestListener, Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Dialect, Gateway, GatewaySettings } from '../src/index.js'
import { createServer } from 'node:http'
import { createAddresses } from '@arbutustray/standins'
import { startGateway } from '../src/index.js'

export const DIALECT: Dialect = {
  headers: {
    requestId: 'x-id',
    deadline: 'x-deadline',
    objectKey: 'x-object',
    team: 'x-team',
    expectedUpstream: 'x-expected',
    answeringUpstream: 'x-upstream',
    coldTime: 'x-cold',
    load: 'x-load',
    requestLimit: 'x-limit',
    leaving: 'x-leaving',
    notRun: 'x-not-run',
    signature: 'x-signature'
  },
  misdirectedStatus: 421,
  readyPath: '/ready',
  directoryPath: '/addresses',
  directoryQuery: { zone: 'zone', region: 'region' },
  directoryBody: (addresses, ttlMs) => ({ addresses, ttlMs }),
  parseLoad: () => undefined
}

export const DEPLOYMENT: Deployment = {
  version: 1,
  routes: [
    { name: 'read', host: 'shop.example', prefix: '/read/', kind: 'idempotent', timeoutMs: 2_000, objectiveMs: 500, attempts: 2, priority: 1, parts: [{ service: 'shop', weight: 1 }], homeRegions: [], allowsAnonymous: false, hasAffinity: true },
    { name: 'buy', host: 'shop.example', prefix: '/buy/', kind: 'non-idempotent', timeoutMs: 2_000, objectiveMs: 500, attempts: 2, priority: 0, parts: [{ service: 'shop', weight: 1 }], homeRegions: [], allowsAnonymous: false, hasAffinity: true }
  ],
  services: [{ name: 'shop', healthPath: '/health', connectionLimit: 100, coldMs: 0, coldRate: 100 }],
  limits: { headerBytes: 8_192, bodyBytes: 1_000_000, headerTimeoutMs: 2_000, idleTimeoutMs: 5_000 },
  teams: undefined
}

/** Opens an HTTP server on a free port. */
export async function listen (onRequest: RequestListener): Promise<{ readonly server: Server, readonly address: string }> {
  const server = createServer(onRequest)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return { server, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

export function upstreamEntry (id: string, address: string): UpstreamEntry {
  return { id, service: 'shop', address, zone: 'zone-1', slots: 4, state: 'ready', coldMs: 0, bornAt: 1 }
}

const { nextHost } = createAddresses(process.pid)

/** Starts a gateway with a replica that holds `DEPLOYMENT` and the upstreams. */
export interface TestGateway {
  readonly origin: string
  readonly addresses: GatewaySettings['addresses']
  readonly gateway: Gateway
  readonly stop: () => Promise<void>
}

export async function startTestGateway (upstreams: readonly UpstreamEntry[], { graceMs = 400, descriptorLimit = 4_096, memoryMb }: { graceMs?: number, descriptorLimit?: number, memoryMb?: number } = {}): Promise<TestGateway> {
  const host = nextHost()
  const addresses = { caller: `${host}:8161`, ready: `${host}:8162`, directory: `${host}:8163`, peer: `${host}:8164`, metrics: `${host}:8165` }
  const settings: GatewaySettings = {
    instanceId: 'entry-1',
    zone: 'zone-1',
    region: 'region-1',
    regions: { 'zone-1': 'region-1' },
    addresses,
    linkMbps: 1_000,
    cores: 1,
    memoryMb,
    descriptorLimit,
    seeds: [],
    graceMs,
    maxTtlMs: 5_000,
    retries: { ratio: 0.2, extra: 50, windowMs: 10_000 },
    cold: { factor: 1.5, extra: 5 },
    dialect: DIALECT
  }
  const gateway = await startGateway({ settings, isCopiedFromPeers: () => false, readingForMs: () => 0 })
  gateway.replica.replace('deployment', 1, [['main', DEPLOYMENT]], 0)
  gateway.replica.replace('upstreams', 1, upstreams.map(entry => [entry.id, entry]), 0)
  return { origin: `http://${addresses.caller}`, addresses, gateway, stop: async () => await gateway.stop() }
}
