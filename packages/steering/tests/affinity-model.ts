/**
 * Model of a service whose upstreams remember objects: each has slots, a FIFO queue and an LRU memory. Twelve instances in
 * three regions send requests; they see only their own traffic and the load reports in answers. Compares rules for
 * choosing an upstream.
 */
import type { AffinityLoad, Load, Rule, RuleName } from './affinity-rules.js'
import { vi } from 'vitest'
import { createComparedRule, createEngineRule, createUndividedRule, createRandom, entriesOf, LATENCY_MS, REGIONS, ZONES } from './affinity-rules.js'

const INSTANCES = 12
const STEP_MS = 5
/** Requests of the last moments don't count, as their answers may come after the end. */
const MAX_ANSWER_MS = 3_000
/** Work for a remembered object, relative to that for another one. */
const WARM_WORK = 0.3
export interface AffinityResult {
  /** Highest busy time of an upstream relative to the mean. */
  readonly highest: number
  /** The same relative to the mean of the upstream's region. */
  readonly highestInRegion: number
  /** Share of runs for which the upstream remembered the object. */
  readonly warm: number
  readonly meanMs: number
  readonly p99Ms: number
  /** Share of requests without an answer. */
  readonly lost: number
  /** Largest change, between windows of 2 s, of the share of a region's requests that run in a region. */
  readonly shift: number
}

interface Work { readonly id: string, readonly object: string, readonly instance: number, readonly arrivedAt: number, readonly isCounted: boolean }
interface Server { readonly id: string, readonly region: string, readonly waiting: Work[], readonly memory: Map<string, true>, running: number, busyMs: number }

/** Largest change of a share between successive windows, from the counts of requests by window, caller region and region. */
function largestShift (windows: ReadonlyArray<ReadonlyMap<string, number>>): number {
  const share = (window: ReadonlyMap<string, number>, from: string, to: string): number => {
    const total = ['a', 'b', 'c'].reduce((sum, region) => sum + (window.get(from + region) ?? 0), 0)
    return (window.get(from + to) ?? 0) / Math.max(1, total)
  }
  let largest = 0
  for (let index = 1; index < windows.length; index += 1) {
    for (const from of ['a', 'b', 'c']) {
      for (const to of ['a', 'b', 'c']) largest = Math.max(largest, Math.abs(share(windows[index], from, to) - share(windows[index - 1], from, to)))
    }
  }
  return largest
}

/** Highest busy time relative to the mean. */
function highestLoad (servers: readonly Server[]): number {
  return Math.max(...servers.map(({ busyMs }) => busyMs)) * servers.length / servers.reduce((sum, { busyMs }) => sum + busyMs, 0)
}

function createRule (name: RuleName, load: AffinityLoad, zone: string, seed: number): Rule {
  if (name === 'engine') return createEngineRule(load, zone)
  return name === 'undivided' ? createUndividedRule(load, zone) : createComparedRule(name, load, zone, createRandom(seed))
}

/** Plays a load under a rule. */
export function playAffinityModel (name: RuleName, load: AffinityLoad, seed = 1): AffinityResult {
  const random = createRandom(seed)
  const zoneOf = (instance: number): string => ZONES[instance % ZONES.length]
  const rules = Array.from({ length: INSTANCES }, (_, index) => createRule(name, load, zoneOf(index), seed + index + 1))
  const servers = new Map<string, Server>(entriesOf(load).map(({ id, zone }) => [id, { id, region: REGIONS[zone], waiting: [], memory: new Map(), running: 0, busyMs: 0 }]))
  const due = new Map<number, Array<() => void>>()
  const windows: Array<Map<string, number>> = []
  const durations: number[] = []
  let step = 0
  let runs = 0
  let warmRuns = 0
  let requests = 0
  let counted = 0

  const isCounted = (): boolean => step * STEP_MS >= load.warmUpSeconds * 1_000
  function after (delayMs: number, action: () => void): void {
    const at = step + Math.max(1, Math.round(delayMs / STEP_MS))
    const actions = due.get(at)
    if (actions === undefined) due.set(at, [action])
    else actions.push(action)
  }
  const latencyMs = (work: Work, server: Server): number => server.region === REGIONS[zoneOf(work.instance)] ? LATENCY_MS.region : LATENCY_MS.elsewhere
  const reportOf = (server: Server): Load => ({ running: server.running, waiting: server.waiting.length, slots: load.slots, slowdown: 1 })

  function start (server: Server, work: Work): void {
    server.running += 1
    const isWarm = server.memory.has(work.object)
    const workMs = load.workMs * (isWarm ? load.warmWork ?? WARM_WORK : 1) * (0.8 + 0.4 * random())
    if (isCounted()) {
      runs += 1
      warmRuns += Number(isWarm)
      server.busyMs += workMs
    }
    after(workMs, () => {
      server.running -= 1
      server.memory.delete(work.object)
      server.memory.set(work.object, true)
      const [oldest] = server.memory.keys()
      if (server.memory.size > load.memory) server.memory.delete(oldest)
      const next = server.waiting.shift()
      if (next !== undefined) start(server, next)
      const report = reportOf(server)
      after(latencyMs(work, server), () => {
        rules[work.instance].answered(work.id, report)
        if (work.isCounted) durations.push(step * STEP_MS - work.arrivedAt)
      })
    })
  }

  function deliver (serverId: string | undefined, work: Work): void {
    const server = servers.get(serverId ?? '')
    if (server === undefined) return
    after(latencyMs(work, server), () => {
      if (server.running < load.slots) start(server, work)
      else if (server.waiting.length < load.queue) server.waiting.push(work)
      else {
        const report = reportOf(server)
        after(latencyMs(work, server), () => deliver(rules[work.instance].refused(work.id, report), work))
      }
    })
    const window = Math.floor(step * STEP_MS / 2_000)
    const counts = windows[window] ??= new Map<string, number>()
    const key = REGIONS[zoneOf(work.instance)] + server.region
    counts.set(key, (counts.get(key) ?? 0) + 1)
  }

  for (let arrivals = 0; step * STEP_MS < load.seconds * 1_000; step += 1) {
    vi.advanceTimersByTime(STEP_MS)
    for (const action of due.get(step) ?? []) action()
    due.delete(step)
    for (arrivals += load.rate * STEP_MS / 1_000 * 2 * random(); arrivals >= 1; arrivals -= 1) {
      requests += 1
      const { object, zone = ZONES[Math.floor(random() * ZONES.length)] } = load.draw(step * STEP_MS / 1_000, random)
      const work = { id: `r${requests}`, object, instance: ZONES.indexOf(zone) + ZONES.length * Math.floor(random() * 2), arrivedAt: step * STEP_MS, isCounted: isCounted() && step * STEP_MS < load.seconds * 1_000 - MAX_ANSWER_MS }
      counted += Number(work.isCounted)
      deliver(rules[work.instance].send(work.id, object), work)
    }
  }
  durations.sort((a, b) => a - b)
  const all = [...servers.values()]
  return {
    highest: highestLoad(all),
    highestInRegion: Math.max(...['a', 'b', 'c'].map(region => highestLoad(all.filter(server => server.region === region)))),
    warm: warmRuns / runs,
    meanMs: durations.reduce((sum, value) => sum + value, 0) / durations.length,
    p99Ms: durations[Math.floor(durations.length * 0.99)],
    lost: 1 - durations.length / counted,
    shift: largestShift(windows.slice(Math.ceil(load.warmUpSeconds / 2), -1))
  }
}
