/**
 * Starts a small deployment as processes for the failure tests: the platform stand-in, upstream stand-ins and entry
 * instances in some zones of the association.
 */
import type { ListedInstance } from '@arbutustray/core'
import type { Run } from '../../src/index.js'
import type { RequestSpec, Sample } from '../../src/demo/caller.js'
import type { Child } from '../../src/demo/children.js'
import type { OperatorCall } from '../../src/demo/operator.js'
import type { EntryInstance } from '../../src/demo/topology.js'
import type { Relay } from './relay.js'
import { onTestFinished } from 'vitest'
import { sendAndVerify } from '../../src/demo/caller.js'
import { planAndConfirm, createOperatorCall, waitUntil } from '../../src/demo/operator.js'
import { OPERATOR_TOKEN, createProcesses, send as sendJson } from '../../src/demo/processes.js'
import { buildCreateOperations, createEntryInstances, findFreePorts, toListedInstance, readConfiguration } from '../../src/demo/topology.js'
import { createRelay } from './relay.js'

export interface FleetOptions {
  /** Number of entry instances by zone. */
  readonly zones: Readonly<Record<string, number>>
  /** Number of slots of each upstream of the token service; 9 by default. */
  readonly slots?: number
  /** Number of upstream processes, each of which hosts one upstream per service and zone; 1 by default. */
  readonly hosts?: number
  /** Ids of instances that the platform lists, but that only the test starts. */
  readonly startedByTest?: readonly string[]
  /** Puts a TCP relay in front of each peer port, and one between each instance and the platform. */
  readonly relays?: boolean
}

export interface Fleet {
  readonly instances: readonly EntryInstance[]
  readonly instance: (id: string) => EntryInstance
  readonly child: (id: string) => Child
  readonly start: (id: string) => void
  readonly call: OperatorCall
  readonly hosts: ReadonlyArray<{ readonly child: Child, readonly controlUrl: string }>
  readonly relays: ReadonlyMap<string, { readonly peer: Relay, readonly platform: Relay }>
  /** Sets fault injection switches of the platform. */
  readonly setPlatformSwitches: (switches: object) => Promise<void>
  /** Sends a request to one instance; a failed connection or a timeout counts as `lost`. */
  readonly send: (id: string, spec: RequestSpec) => Promise<Sample>
  readonly fetchKeys: (id: string, count: number) => Promise<readonly string[]>
  /** Ids of the instances that a look-up of the token service returns. */
  readonly lookup: (id: string) => Promise<readonly string[]>
  readonly version: (id: string) => Promise<number>
  readonly runs: () => Promise<readonly Run[]>
}

/** Starting the twelve processes of the demo took 6 s on an overloaded machine. */
const START_LIMIT_MS = 20_000
const DEFAULT_SLOTS: Readonly<Record<string, number>> = { token: 9, ledger: 3 }

function createConfigurationFile (zones: FleetOptions['zones']) {
  const file = readConfiguration()
  const isIncluded = (zone: string): boolean => zones[zone] !== undefined
  const includedZones = (file.zones ?? []).filter(zone => isIncluded(zone.id)).map(zone => ({ ...zone, instances: zones[zone.id] ?? 0 }))
  return { ...file, zones: includedZones, places: (file.places ?? []).filter(place => isIncluded(place.zone)) }
}

/** Starts a fleet that is stopped at the end of the test, and waits until its configuration is in force. */
export async function startFleet (options: FleetOptions): Promise<Fleet> {
  const processes = createProcesses()
  onTestFinished(processes.close)
  const file = createConfigurationFile(options.zones)
  const specs = (host: number) => Object.keys(options.zones).flatMap(zone => ['token', 'ledger'].map(service => ({
    id: `${service}-${zone}-${host}`, service, zone, slots: service === 'token' ? options.slots ?? 9 : DEFAULT_SLOTS[service], seed: host + 1
  })))
  const platform = await processes.startStandin('platform', 'platform/main.js')
  const hosts = await Promise.all(Array.from({ length: options.hosts ?? 1 }, async (_, host) => {
    const { child, ready } = await processes.startStandin(`upstreams ${host}`, 'upstream/main.js', [JSON.stringify(specs(host))])
    return { child, controlUrl: ready.controlUrl as string, upstreams: ready.upstreams as readonly ListedInstance[] }
  }))
  const upstreams = hosts.flatMap(host => host.upstreams)
  const instances = await createEntryInstances(file)
  const instance = (id: string): EntryInstance => {
    const found = instances.find(row => row.id === id)
    if (found === undefined) throw new Error(`no instance ${id}`)
    return found
  }
  const relays = new Map<string, { readonly peer: Relay, readonly platform: Relay }>()
  if (options.relays === true) {
    const ports = await findFreePorts(2 * instances.length)
    for (const [index, row] of instances.entries()) {
      relays.set(row.id, {
        peer: await createRelay(ports[2 * index]!, row.peer),
        platform: await createRelay(ports[2 * index + 1]!, new URL(platform.ready.url).host)
      })
    }
    onTestFinished(async () => { for (const row of relays.values()) await Promise.all([row.peer.cut(), row.platform.cut()]) })
  }
  const children = new Map<string, Child>()
  const start = (id: string): void => {
    const relay = relays.get(id)
    const url = relay === undefined ? platform.ready.url : `http://${relay.platform.address}`
    const settings = relay === undefined ? {} : { advertisedPeerAddress: relay.peer.address }
    children.set(id, processes.startEntry(instance(id), url, settings))
  }
  const entries = instances.map(row => {
    const entry = toListedInstance(row)
    return { ...entry, peerAddress: relays.get(row.id)?.peer.address ?? row.peer }
  })
  await sendJson(`${platform.ready.url}/control/instances`, 'PUT', [...upstreams, ...entries])
  const started = instances.filter(row => options.startedByTest?.includes(row.id) !== true)
  for (const row of started) start(row.id)

  const call = createOperatorCall(OPERATOR_TOKEN)
  await waitUntil('entry instances ready', START_LIMIT_MS, async () =>
    (await Promise.all(started.map(async row => await call(row, '/health')))).length > 0)
  await planAndConfirm(call, started[0]!, buildCreateOperations(file), 'first configuration')
  await waitUntil('configuration, upstreams and peers known', START_LIMIT_MS, async () => {
    const states = await Promise.all(started.map(async row => await call(row, '/v1/status')))
    return states.every(state => state.version === 1 && state.upstreams.length === upstreams.length &&
      state.instances.filter((row: { state: string }) => row.state === 'live').length >= started.length - 1)
  })
  let requests = 0
  return {
    instances,
    instance,
    child: id => children.get(id)!,
    start,
    call,
    hosts,
    relays,
    setPlatformSwitches: async switches => { await sendJson(`${platform.ready.url}/control`, 'POST', switches) },
    send: async (id, spec) => {
      requests += 1
      const startedAt = performance.now()
      const url = `http://${instance(id).caller}/v1/services/${spec.service}${spec.path}`
      const result = await sendAndVerify(url, spec, `r${requests}`).catch(error => ({ end: 'lost' as const, detail: String(error) }))
      return { spec, ...result, ms: performance.now() - startedAt }
    },
    fetchKeys: async (id, count) => {
      const body = JSON.stringify({ service: 'token', count })
      const response = await fetch(`http://${instance(id).caller}/v1/keys`, { method: 'POST', headers: { 'content-type': 'application/json' }, body })
      return (await response.json() as { readonly keys: readonly string[] }).keys
    },
    lookup: async id => {
      const response = await fetch(`http://${instance(id).caller}/v1/lookup?service=token`)
      const answer = await response.json() as { readonly instances?: ReadonlyArray<{ readonly id: string }> }
      return (answer.instances ?? []).map(row => row.id)
    },
    version: async id => (await call(instance(id), '/v1/status')).version,
    runs: async () => (await Promise.all(hosts.filter(({ child }) => child.process.signalCode === null)
      .map(async host => await sendJson(`${host.controlUrl}/runs`, 'GET')))).flat()
  }
}

/** Creates a balance check. Each path must be unique, so that its runs can be found in the run logs. */
export function check (path: string, more: Partial<RequestSpec> = {}): RequestSpec {
  return { kind: 'check', service: 'token', method: 'GET', path: `/balances/${path}`, ...more }
}

/** Creates a purchase with an idempotency key. */
export function purchase (path: string, key: string, more: Partial<RequestSpec> = {}): RequestSpec {
  return { kind: 'purchase', service: 'token', method: 'POST', path: `/purchases/${path}`, body: Buffer.from(path), key, ...more }
}
