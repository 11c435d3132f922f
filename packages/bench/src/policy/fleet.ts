/**
 * The entry instances of a replay and the clients that look them up.
 */
import type { ListedInstance, RequestArrived } from '@arbutustray/core'
import type { End, NodeFake } from './node-fake.js'
import type { Measures } from './measures.js'
import type { Profile } from './profile.js'
import type { Site } from './site.js'
import type { TracedRequest } from './trace.js'
import type { VirtualTime } from './virtual-time.js'
import { createNodeFake } from './node-fake.js'
import { clientAddress, createClientBlocks, createConfiguration, delayMs } from './profile.js'

export interface FleetOptions {
  readonly time: VirtualTime
  readonly profile: Profile
  readonly site: Site
  readonly measures: Measures
  readonly seed: number
  readonly untilMs: number
}

export interface Fleet {
  readonly nodes: readonly NodeFake[]
  readonly send: (request: TracedRequest) => void
  /** Replaces the configuration of every live node. */
  readonly configure: (change: (configuration: ReturnType<typeof createConfiguration>) => ReturnType<typeof createConfiguration>) => void
  /** Starts a node again and gives it the configuration and the list, as the platform does before it is ready. */
  readonly restart: (node: NodeFake) => void
  /** Requests that wait for an answer. */
  readonly waiting: () => number
}

const TICK_MS = 10
const LIST_MS = 1_000
const REPORT_MS = 1_000
/** Load reports state what the upstream ran this long before. */
const REPORT_LAG_MS = 2_000
const LOOKUP_TTL_MS = 5_000
const CLIENT_CONNECT_TIMEOUT_MS = 200

/** Creates the fleet, gives it its configuration and list, and starts its ticks. */
export function createFleet (options: FleetOptions): Fleet {
  const { time, profile, site, measures } = options
  const nodes: NodeFake[] = []
  for (const [index, zone] of profile.instanceZones.entries()) {
    const peer = (id: string): NodeFake | undefined => byId.get(id)
    nodes.push(createNodeFake({ id: `entry-${index}`, zone, time, profile, site, seed: options.seed + index, peer }))
  }
  const byId = new Map(nodes.map(node => [node.id, node]))
  const lookups = new Map<string, { readonly ids: readonly string[], readonly at: number }>()
  let configuration = createConfiguration(profile)
  let waiting = 0

  function list (): readonly ListedInstance[] {
    const entries = nodes.filter(node => node.alive()).map(({ id, zone }) => (
      { id, role: 'entry', zone, address: id, peerAddress: id, state: 'live' } as const))
    const upstreams = site.upstreams.filter(row => row.alive()).map(({ id, service, zone }) => (
      { id, role: 'upstream', service, zone, address: id, state: 'live' } as const))
    return [...entries, ...upstreams]
  }

  function every (periodMs: number, run: () => void): void {
    const again = (): void => {
      run()
      if (time.now() + periodMs < options.untilMs) time.after(periodMs, again)
    }
    again()
  }

  const clientBlocks = createClientBlocks(profile)

  function prepare (node: NodeFake): void {
    node.engine.world.clientBlocks = clientBlocks
    node.deliver({ type: 'configuration-received', configuration, source: 'platform' })
    node.deliver({ type: 'list-received', entries: list() })
  }

  function deliverList (): void {
    for (const node of nodes) prepare(node)
  }

  function reportLoad (): void {
    for (const upstream of site.upstreams) {
      const active = upstream.running()
      time.after(REPORT_LAG_MS, () => {
        for (const node of nodes) {
          if (node.zone !== upstream.zone) continue
          node.deliver({ type: 'upstream-reported', upstreamId: upstream.id, active, queued: 0, ageMs: REPORT_LAG_MS })
        }
      })
    }
  }

  /** Instances that the client would try, from its cached look-up or from the nearest instance that answers one. */
  function lookup (zone: string, service: string): readonly string[] {
    const key = `${zone}/${service}`
    const cached = lookups.get(key)
    if (cached !== undefined && time.now() - cached.at < LOOKUP_TTL_MS) return cached.ids
    const nearest = [...nodes].sort((a, b) => delayMs(profile, zone, a.zone) - delayMs(profile, zone, b.zone))
    for (const node of nearest) {
      if (!node.alive()) continue
      const answer = node.engine.lookup({ service })
      if (answer.isErr()) continue
      const ids = answer.value.instances.map(instance => instance.id)
      lookups.set(key, { ids, at: time.now() })
      return ids
    }
    return []
  }

  /** A client that could not connect uses the other instances until its next look-up. */
  function forgetInstance (request: TracedRequest, id: string): void {
    const key = `${request.zone}/${request.kind.service}`
    const cached = lookups.get(key)
    if (cached !== undefined) lookups.set(key, { ...cached, ids: cached.ids.filter(other => other !== id) })
  }

  function end (request: TracedRequest, result: End): void {
    waiting -= 1
    if (result.type === 'answered') measures.recordLatency(request, time.now() - request.at)
    else if (result.type === 'refused') measures.recordRefusal(result.reason)
    else measures.recordLost()
  }

  function arrive (request: TracedRequest, node: NodeFake): void {
    const keys = request.kind.kind === 'protected' ? node.engine.issueKeys(1) : undefined
    const event: RequestArrived = {
      type: 'request-arrived',
      requestId: request.id,
      service: request.kind.service,
      method: request.kind.method,
      path: request.kind.path,
      client: clientAddress(profile, request.zone, request.tenant),
      contentLength: request.kind.length === 'long' ? request.kind.bytes : 0,
      ...(keys?.isOk() === true ? { key: keys.value.keys[0]! } : {})
    }
    let started = false
    node.accept(event, {
      workMs: request.workMs,
      // Hedges start the work a second time; the caller waited for the first start only.
      onStart: () => {
        if (!started) measures.recordWait(request, time.now() - request.at)
        started = true
      },
      onEnd: result => time.after(profile.clientDelayMs, () => end(request, result))
    })
  }

  /** Tries the instances of the look-up in turn; each one that is gone costs the client a time-out. */
  function attempt (request: TracedRequest, ids: readonly string[], start: number, tried: number): void {
    const node = byId.get(ids[(start + tried) % Math.max(1, ids.length)] ?? '')
    if (node?.alive() === true) {
      time.after(profile.clientDelayMs, () => arrive(request, node))
    } else if (tried + 1 < ids.length) {
      time.after(CLIENT_CONNECT_TIMEOUT_MS, () => {
        forgetInstance(request, ids[(start + tried) % ids.length]!)
        attempt(request, ids, start, tried + 1)
      })
    } else {
      end(request, { type: 'refused', reason: 'no-instance' })
    }
  }

  deliverList()
  every(TICK_MS, () => {
    for (const node of nodes) node.deliver({ type: 'tick' })
  })
  every(LIST_MS, deliverList)
  every(REPORT_MS, reportLoad)

  return {
    nodes,
    send: request => {
      waiting += 1
      const ids = lookup(request.zone, request.kind.service)
      const local = ids.filter(id => byId.get(id)?.zone === request.zone)
      const start = local.length > 1 ? ids.indexOf(local[Math.floor(request.at) % local.length]!) : 0
      attempt(request, ids, start, 0)
    },
    configure: change => {
      configuration = { ...change(configuration), version: configuration.version + 1 }
      for (const node of nodes) node.deliver({ type: 'configuration-received', configuration, source: 'platform' })
    },
    restart: node => {
      node.restart()
      prepare(node)
    },
    waiting: () => waiting
  }
}
