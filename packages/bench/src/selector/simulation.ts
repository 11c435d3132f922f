/**
 * Requests to one service over 6 zones with 7 entry instances and 35 upstreams, on virtual time. Every instance
 * selects among the upstreams of its zone. What finds no free slot is forwarded to the sibling zone, then to another
 * region, else it is queued. The slot limits, the index of outstanding attempts and the selector are those of the
 * decision package. There is no shift cap, and a forwarding instance knows the free slots of the other zones.
 */
import type { SlotLimits, Upstream, UpstreamSelector, World } from '@arbutustray/core'
import type { Exponential, Spells, SpellShape } from './spells.js'
import type { Variant } from './variants.js'
import { createOutstandingAttempts, createSlotLimits, createWorld, EMPTY_CONFIGURATION } from '@arbutustray/core'
import { build } from 'hdr-histogram-js'
import { unsafeSkipN, xoroshiro128plus } from 'pure-rand'
import { createEventHeap } from './event-heap.js'
import { createSpells } from './spells.js'

/** One run. */
export interface Run {
  readonly variant: Variant
  /** Offered load as a share of all slots. */
  readonly load: number
  readonly spells: SpellShape
  readonly requests: number
  readonly seed: number
}

/** Latencies in milliseconds, and shares of the requests. */
export interface RunResult {
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** Started on a slow upstream. */
  readonly slowShare: number
  /** Forwarded to the sibling zone or to another region. */
  readonly movedShare: number
}

/** Shape of the fleet: instances and upstreams by zone. */
const ZONES = [
  { instances: 2, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 5 }
]
const SLOTS = 9
const SERVICE_MS = 20
const SERVICE = 'tokens'
/** Zones per region. */
const SIBLINGS = 2
/** One-way delays to another zone of the region and to another region, in milliseconds. */
const SIBLING_DELAY_MS = 1.5
const REGION_DELAY_MS = 20
/** Interval at which queued requests are tried again in other zones. */
const TICK_MS = 10
/** Part of the requests that warms the estimates up and is not measured. */
const WARM_UP_SHARE = 0.05
const SKIPPED_VALUES = 128
const UNITS_PER_MS = 1_000
const NOBODY: ReadonlySet<string> = new Set()

interface Node {
  readonly zone: string
  readonly region: number
  readonly selector: UpstreamSelector
  readonly slots: SlotLimits
  readonly outstanding: ReturnType<typeof createOutstandingAttempts>
  readonly queue: Request[]
  /** Share of all arrivals. */
  readonly share: number
}

interface Target { readonly node: Node, readonly delayMs: number }

interface Request { readonly number: number, readonly arrivedAt: number, readonly workMs: number }

type SimulationEvent =
  | { readonly type: 'arrival' }
  | { readonly type: 'tick' }
  | { readonly type: 'end', readonly node: Node, readonly upstreamId: string, readonly request: Request, readonly delayMs: number }

function createTables (zone: string, self: string, upstreams: readonly Upstream[]): World {
  const world = createWorld({ id: self, zone, address: '', peerAddress: '', incarnation: self })
  world.configuration = {
    ...EMPTY_CONFIGURATION,
    version: 1,
    regions: ZONES.filter((_, index) => index % SIBLINGS === 0).map((_, index) => ({ id: `r${index}` })),
    zones: ZONES.map((row, index) => ({ id: `z${index}`, region: `r${Math.floor(index / SIBLINGS)}`, instances: row.instances })),
    services: [{
      id: SERVICE,
      slots: SLOTS,
      connections: 400,
      deadlineMs: 10_000,
      maxBodyBytes: 0,
      refusalHeader: 'x-load-shed',
      coldStartMs: 0,
      routes: []
    }]
  }
  for (const upstream of upstreams) world.upstreams.set(upstream.id, upstream)
  return world
}

function createNodes (run: Run, spells: ReadonlyMap<string, Spells>, below: (bound: number) => number): Node[] {
  const upstreams = ZONES.flatMap((row, zone) => Array.from({ length: row.upstreams }, (_, index): Upstream => ({
    id: `u${zone}-${index}`, service: SERVICE, zone: `z${zone}`, address: '', state: 'live', listedAt: -Infinity
  })))
  return ZONES.flatMap((row, zone) => Array.from({ length: row.instances }, (_, index): Node => {
    const world = createTables(`z${zone}`, `i${zone}-${index}`, upstreams)
    for (let peer = 0; peer < row.instances; peer += 1) {
      const id = `i${zone}-${peer}`
      if (peer !== index) {
        world.instances.set(id, {
          id, incarnation: id, zone: `z${zone}`, address: '', peerAddress: '', state: 'live', heardAt: 0, configurationVersion: 1, headroom: new Map(), headroomAt: 0
        })
      }
    }
    const outstanding = createOutstandingAttempts()
    const slots = createSlotLimits(world, outstanding)
    const slow = (id: string, now: number): boolean => spells.get(id)?.slowAt(now) ?? false
    const selector = run.variant({ world, slots, outstanding, seed: run.seed + zone * 10 + index, below, slow })
    return { zone: `z${zone}`, region: Math.floor(zone / SIBLINGS), selector, slots, outstanding, queue: [], share: row.upstreams / row.instances / upstreams.length }
  }))
}

/** The other instances in the order in which a request is forwarded. */
function targetsOf (node: Node, nodes: readonly Node[]): Target[] {
  return nodes
    .filter(other => other.zone !== node.zone)
    .map(other => ({ node: other, delayMs: other.region === node.region ? SIBLING_DELAY_MS : REGION_DELAY_MS }))
    .sort((a, b) => a.delayMs - b.delayMs)
}

/** Uniform numbers between 0 and 1. The first values are dropped: for seeds that are close they are alike. */
const uniformOf = (seed: number): () => number => {
  const generator = xoroshiro128plus(seed)
  unsafeSkipN(generator, SKIPPED_VALUES)
  return () => ((generator.unsafeNext() >>> 0) + 0.5) / 0x1_0000_0000
}

const exponentialOf = (uniform: () => number): Exponential => mean => -mean * Math.log(uniform())

/** Runs the requests and gives the latencies. The same run gives the same result. */
export function simulate (run: Run): RunResult {
  const uniform = uniformOf(run.seed)
  const exponential = exponentialOf(uniform)
  const choice = uniformOf(run.seed + 1)
  const below = (bound: number): number => Math.floor(choice() * bound)
  const spells = new Map<string, Spells>(ZONES.flatMap((row, zone) => Array.from({ length: row.upstreams }, (_, index) => (
    [`u${zone}-${index}`, createSpells(run.spells, exponentialOf(uniformOf(run.seed + 1_000 + zone * 100 + index)))] as const
  ))))
  const nodes = createNodes(run, spells, below)
  const targets = new Map(nodes.map(node => [node, targetsOf(node, nodes)]))
  const gapMs = SERVICE_MS / (run.load * SLOTS * spells.size)
  const events = createEventHeap<SimulationEvent>()
  const latencies = build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 })
  const warmUp = run.requests * WARM_UP_SHARE
  let arrived = 0
  let finished = 0
  let slowStarts = 0
  let moved = 0

  function start (node: Node, request: Request, now: number, delayMs: number): boolean {
    const upstreamId = node.selector.select(SERVICE, node.zone, 'short', NOBODY, now)
    if (upstreamId === undefined) return false
    const attemptId = String(request.number)
    node.outstanding.add(upstreamId, attemptId, 'short', now)
    node.selector.recordStart(upstreamId, attemptId, now)
    const course = spells.get(upstreamId) as Spells
    if (course.slowAt(now)) slowStarts += 1
    if (delayMs > 0) moved += 1
    events.push(course.finish(now + delayMs, request.workMs), { type: 'end', node, upstreamId, request, delayMs })
    return true
  }

  function forward (node: Node, request: Request, now: number): boolean {
    return targets.get(node)?.some(target => target.node.queue.length === 0 && start(target.node, request, now, target.delayMs)) ?? false
  }

  function drain (node: Node, now: number, mayForward: boolean): void {
    while (node.queue.length > 0) {
      if (!start(node, node.queue[0], now, 0) && !(mayForward && forward(node, node.queue[0], now))) return
      node.queue.shift()
    }
  }

  function arrive (now: number): void {
    let pick = uniform()
    const node = nodes.find(row => (pick -= row.share) < 0) ?? nodes[nodes.length - 1]
    node.queue.push({ number: arrived, arrivedAt: now, workMs: exponential(SERVICE_MS) })
    arrived += 1
    if (node.queue.length === 1) drain(node, now, true)
    if (arrived < run.requests) events.push(now + exponential(gapMs), { type: 'arrival' })
  }

  function end (event: Extract<SimulationEvent, { type: 'end' }>, now: number): void {
    const { node, upstreamId, request, delayMs } = event
    node.outstanding.remove(upstreamId, String(request.number))
    node.selector.recordEnd(upstreamId, String(request.number), 'finished', now)
    finished += 1
    if (request.number >= warmUp) latencies.recordValue(Math.round((now + delayMs - request.arrivedAt) * UNITS_PER_MS))
    drain(node, now, false)
  }

  events.push(0, { type: 'arrival' })
  events.push(0, { type: 'tick' })
  for (let next = events.pop(); next !== undefined; next = events.pop()) {
    const { at, event } = next
    if (event.type === 'arrival') arrive(at)
    else if (event.type === 'end') end(event, at)
    else if (finished < run.requests) {
      for (const node of nodes) drain(node, at, true)
      events.push(at + TICK_MS, { type: 'tick' })
    }
  }
  const percentile = (value: number): number => latencies.getValueAtPercentile(value) / UNITS_PER_MS
  return {
    p50: percentile(50),
    p99: percentile(99),
    p999: percentile(99.9),
    slowShare: slowStarts / run.requests,
    movedShare: moved / run.requests
  }
}
