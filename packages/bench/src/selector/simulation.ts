/**
 * Simulates requests to one service in 6 zones with 7 entry instances and 35 upstreams, on virtual time. Each instance
 * selects among the upstreams of its own zone. A request that finds no free slot there is forwarded to the other zone
 * of the region, then to another region, and is queued if those are full too. Slot limits and outstanding attempts
 * come from the core package. Unlike the real system there is no shift cap, and an instance knows the free slots of
 * other zones exactly.
 */
import type { SlotLimits, Upstream, UpstreamSelector, World } from '@arbutustray/core'
import type { Exponential, SlowPeriods, SlowPeriodDistribution } from './slow-periods.js'
import type { Variant } from './variants.js'
import { createOutstandingAttempts, createSlotLimits, createWorld, EMPTY_CONFIGURATION } from '@arbutustray/core'
import { build } from 'hdr-histogram-js'
import { unsafeSkipN, xoroshiro128plus } from 'pure-rand'
import { createEventHeap } from './event-heap.js'
import { createSlowPeriods } from './slow-periods.js'

/** Parameters of one simulation run. */
export interface Run {
  readonly variant: Variant
  /** Offered load as a share of all slots. */
  readonly load: number
  readonly slowPeriods: SlowPeriodDistribution
  readonly requests: number
  readonly seed: number
}

/** Latencies in milliseconds, and shares of all requests. */
export interface RunResult {
  readonly p50: number
  readonly p99: number
  readonly p999: number
  /** Share that started on an upstream in a slow period. */
  readonly slowStartShare: number
  /** Share that ran in another zone or region. */
  readonly forwardedShare: number
}

/** Number of entry instances and upstreams by zone. */
const ZONES = [
  { instances: 2, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 6 },
  { instances: 1, upstreams: 5 }
]
const SLOTS = 9
const MEAN_SERVICE_MS = 20
const SERVICE = 'tokens'
const ZONES_PER_REGION = 2
/** One-way delays to another zone of the region and to another region, in milliseconds. */
const INTER_ZONE_DELAY_MS = 1.5
const INTER_REGION_DELAY_MS = 20
/** Interval at which queued requests are tried again in other zones. */
const TICK_PERIOD_MS = 10
/** Share of the requests that is not measured, because the selectors' estimates are still warming up. */
const WARM_UP_SHARE = 0.05
const SKIPPED_DRAWS = 128
const MICROSECONDS_PER_MS = 1_000
const NO_EXCLUSIONS: ReadonlySet<string> = new Set()

interface Instance {
  readonly zone: string
  readonly region: number
  readonly selector: UpstreamSelector
  readonly slots: SlotLimits
  readonly outstanding: ReturnType<typeof createOutstandingAttempts>
  readonly queue: Request[]
  /** Share of all requests that arrive here. */
  readonly share: number
}

interface Target { readonly instance: Instance, readonly delayMs: number }

interface Request { readonly number: number, readonly arrivedAt: number, readonly workMs: number }

type SimulationEvent =
  | { readonly type: 'arrival' }
  | { readonly type: 'tick' }
  | { readonly type: 'end', readonly instance: Instance, readonly upstreamId: string, readonly request: Request, readonly delayMs: number }

function createInstanceWorld (zone: string, self: string, upstreams: readonly Upstream[]): World {
  const world = createWorld({ id: self, zone, address: '', peerAddress: '', incarnation: self })
  world.configuration = {
    ...EMPTY_CONFIGURATION,
    version: 1,
    regions: ZONES.filter((_, index) => index % ZONES_PER_REGION === 0).map((_, index) => ({ id: `r${index}` })),
    zones: ZONES.map((row, index) => ({ id: `z${index}`, region: `r${Math.floor(index / ZONES_PER_REGION)}`, instances: row.instances })),
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

function createInstances (run: Run, slowPeriods: ReadonlyMap<string, SlowPeriods>, randomBelow: (bound: number) => number): Instance[] {
  const upstreams = ZONES.flatMap((row, zone) => Array.from({ length: row.upstreams }, (_, index): Upstream => ({
    id: `u${zone}-${index}`, service: SERVICE, zone: `z${zone}`, address: '', state: 'live', listedAt: -Infinity
  })))
  return ZONES.flatMap((row, zone) => Array.from({ length: row.instances }, (_, index): Instance => {
    const world = createInstanceWorld(`z${zone}`, `i${zone}-${index}`, upstreams)
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
    const isSlow = (id: string, now: number): boolean => slowPeriods.get(id)?.isSlowAt(now) ?? false
    const selector = run.variant({ world, slots, outstanding, seed: run.seed + zone * 10 + index, randomBelow, isSlow })
    return { zone: `z${zone}`, region: Math.floor(zone / ZONES_PER_REGION), selector, slots, outstanding, queue: [], share: row.upstreams / row.instances / upstreams.length }
  }))
}

/** Returns the instances of other zones in the order in which forwarding tries them. */
function forwardTargets (instance: Instance, instances: readonly Instance[]): Target[] {
  return instances
    .filter(other => other.zone !== instance.zone)
    .map(other => ({ instance: other, delayMs: other.region === instance.region ? INTER_ZONE_DELAY_MS : INTER_REGION_DELAY_MS }))
    .sort((a, b) => a.delayMs - b.delayMs)
}

/** Creates a uniform generator between 0 and 1. Skips the first values, which are similar for similar seeds. */
const createUniform = (seed: number): () => number => {
  const generator = xoroshiro128plus(seed)
  unsafeSkipN(generator, SKIPPED_DRAWS)
  return () => ((generator.unsafeNext() >>> 0) + 0.5) / 0x1_0000_0000
}

const createExponential = (uniform: () => number): Exponential => mean => -mean * Math.log(uniform())

/** Simulates a run. The same parameters give the same result. */
export function simulate (run: Run): RunResult {
  const uniform = createUniform(run.seed)
  const exponential = createExponential(uniform)
  const tieBreak = createUniform(run.seed + 1)
  const randomBelow = (bound: number): number => Math.floor(tieBreak() * bound)
  const slowPeriods = new Map<string, SlowPeriods>(ZONES.flatMap((row, zone) => Array.from({ length: row.upstreams }, (_, index) => (
    [`u${zone}-${index}`, createSlowPeriods(run.slowPeriods, createExponential(createUniform(run.seed + 1_000 + zone * 100 + index)))] as const
  ))))
  const instances = createInstances(run, slowPeriods, randomBelow)
  const targets = new Map(instances.map(instance => [instance, forwardTargets(instance, instances)]))
  const meanInterarrivalMs = MEAN_SERVICE_MS / (run.load * SLOTS * slowPeriods.size)
  const events = createEventHeap<SimulationEvent>()
  const latencies = build({ bitBucketSize: 32, numberOfSignificantValueDigits: 3 })
  const warmUp = run.requests * WARM_UP_SHARE
  let arrived = 0
  let finished = 0
  let slowStarts = 0
  let forwardedCount = 0

  function start (instance: Instance, request: Request, now: number, delayMs: number): boolean {
    const upstreamId = instance.selector.select(SERVICE, instance.zone, 'short', NO_EXCLUSIONS, now)
    if (upstreamId === undefined) return false
    const attemptId = String(request.number)
    instance.outstanding.add(upstreamId, attemptId, 'short', now)
    instance.selector.recordStart(upstreamId, attemptId, now)
    const upstreamPeriods = slowPeriods.get(upstreamId) as SlowPeriods
    if (upstreamPeriods.isSlowAt(now)) slowStarts += 1
    if (delayMs > 0) forwardedCount += 1
    events.push(upstreamPeriods.finishTime(now + delayMs, request.workMs), { type: 'end', instance, upstreamId, request, delayMs })
    return true
  }

  function forward (instance: Instance, request: Request, now: number): boolean {
    return targets.get(instance)?.some(target => target.instance.queue.length === 0 && start(target.instance, request, now, target.delayMs)) ?? false
  }

  function dispatchQueue (instance: Instance, now: number, mayForward: boolean): void {
    while (instance.queue.length > 0) {
      if (!start(instance, instance.queue[0], now, 0) && !(mayForward && forward(instance, instance.queue[0], now))) return
      instance.queue.shift()
    }
  }

  function arrive (now: number): void {
    let remainingShare = uniform()
    const instance = instances.find(row => (remainingShare -= row.share) < 0) ?? instances[instances.length - 1]
    instance.queue.push({ number: arrived, arrivedAt: now, workMs: exponential(MEAN_SERVICE_MS) })
    arrived += 1
    if (instance.queue.length === 1) dispatchQueue(instance, now, true)
    if (arrived < run.requests) events.push(now + exponential(meanInterarrivalMs), { type: 'arrival' })
  }

  function end (event: Extract<SimulationEvent, { type: 'end' }>, now: number): void {
    const { instance, upstreamId, request, delayMs } = event
    instance.outstanding.remove(upstreamId, String(request.number))
    instance.selector.recordEnd(upstreamId, String(request.number), 'finished', now)
    finished += 1
    if (request.number >= warmUp) latencies.recordValue(Math.round((now + delayMs - request.arrivedAt) * MICROSECONDS_PER_MS))
    dispatchQueue(instance, now, false)
  }

  events.push(0, { type: 'arrival' })
  events.push(0, { type: 'tick' })
  for (let next = events.pop(); next !== undefined; next = events.pop()) {
    const { at, event } = next
    if (event.type === 'arrival') arrive(at)
    else if (event.type === 'end') end(event, at)
    else if (finished < run.requests) {
      for (const instance of instances) dispatchQueue(instance, at, true)
      events.push(at + TICK_PERIOD_MS, { type: 'tick' })
    }
  }
  const percentile = (value: number): number => latencies.getValueAtPercentile(value) / MICROSECONDS_PER_MS
  return {
    p50: percentile(50),
    p99: percentile(99),
    p999: percentile(99.9),
    slowStartShare: slowStarts / run.requests,
    forwardedShare: forwardedCount / run.requests
  }
}
