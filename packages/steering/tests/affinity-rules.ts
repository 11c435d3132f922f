/**
 * Rules for choosing an upstream that the affinity model compares: the steering engine, and simple rules from the
 * literature. Each instance of a rule sees its own requests and the load reports in answers.
 */
import type { Route, Steering, SteeringCommand, SteeringOptions, Upstream } from '../src/index.js'
import { hash32 } from '@arbutustray/core'
import { createUpstreamTable } from '../src/index.js'
import { estimateLoad, recordLoadReport } from '../src/load-estimate.js'
import { createRanking } from '../src/ranking.js'
import { DEPLOYMENT, READ, startSteering, upstreamEntry } from './fixtures.js'

export const REGIONS: Readonly<Record<string, string>> = { a1: 'a', a2: 'a', b1: 'b', b2: 'b', c1: 'c', c2: 'c' }
export const ZONES = Object.keys(REGIONS)
/** One-way latency in milliseconds. */
export const LATENCY_MS = { region: 1, elsewhere: 20 } as const

export interface AffinityLoad {
  /** Upstreams of each zone, in the order of `REGIONS`. */
  readonly upstreams: readonly number[]
  readonly slots: number
  readonly queue: number
  /** Objects that an upstream remembers. */
  readonly memory: number
  /** Work for an object that is not remembered, in milliseconds. */
  readonly workMs: number
  /** Requests per second from all callers. */
  readonly rate: number
  readonly seconds: number
  /** Results count from here on. */
  readonly warmUpSeconds: number
  /** The object of a request and the zone of its caller. */
  readonly draw: (second: number, random: () => number) => { readonly object: string, readonly zone?: string }
  readonly warmWork?: number
  readonly route?: Partial<Route>
}

export type Load = { readonly running: number, readonly waiting: number, readonly slots: number, readonly slowdown: number }

/** Chooses upstreams at one instance. */
export interface Rule {
  readonly send: (requestId: string, object: string) => string | undefined
  readonly refused: (requestId: string, load: Load) => string | undefined
  readonly answered: (requestId: string, load: Load) => void
}

export type RuleName = 'engine' | 'undivided' | 'two-random' | 'bounded-load'

/** Rules that are compared with the engine, by the same estimate of load. */
const CHOICES: { readonly [R in Exclude<RuleName, 'engine' | 'undivided'>]: (ranked: readonly Upstream[], random: () => number, loadOf: (upstream: Upstream) => number) => Upstream } = {
  'two-random': (ranked, random, loadOf) => {
    const own = ranked.filter(({ region }) => region === ranked[0].region)
    const [a, b] = [own, own].map(list => list[Math.floor(random() * list.length)])
    return loadOf(a) <= loadOf(b) ? a : b
  },
  // Consistent hashing with bounded loads: the first of the ranking whose load is within 1.25 times the mean.
  'bounded-load': (ranked, _random, loadOf) => {
    const own = ranked.filter(({ region }) => region === ranked[0].region)
    const bound = Math.ceil(1.25 * (own.reduce((sum, upstream) => sum + loadOf(upstream), 0) + 1) / own.length)
    return own.find(upstream => loadOf(upstream) < bound) ?? own[0]
  }
}

export function createRandom (seed: number): () => number {
  let draws = 0
  return () => hash32(`${seed} ${draws++}`) / 2 ** 32
}

export function entriesOf ({ upstreams, slots }: AffinityLoad): ReturnType<typeof upstreamEntry>[] {
  return ZONES.flatMap((zone, index) => Array.from({ length: upstreams[index] }, (_, number) => upstreamEntry(`${zone}-${number}`, { zone, slots, address: `10.0.${index}.${number}:1` })))
}

/** `changes`: options that differ from the usual ones. */
export function createEngineRule (load: AffinityLoad, zone: string, changes: Partial<SteeringOptions> = {}): Rule {
  const route: Route = { ...READ, kind: 'non-idempotent', timeoutMs: 8_000, objectiveMs: 521, attempts: 1, ...load.route }
  const deployment = { ...DEPLOYMENT, routes: [route], services: [{ ...DEPLOYMENT.services[0], connectionLimit: 10_000 }] }
  const steering: Steering = startSteering(entriesOf(load), { self: { id: `entry-${zone}`, zone, region: REGIONS[zone] }, regions: REGIONS, ...changes }, deployment)
  for (const other of ZONES) steering.handle({ type: 'zone-reached', zone: other, roundTripMs: 2 * (REGIONS[other] === REGIONS[zone] ? LATENCY_MS.region : LATENCY_MS.elsewhere) })
  const attempts = new Map<string, string>()
  function chosen (requestId: string, commands: readonly SteeringCommand[]): string | undefined {
    const command = commands.find(({ type }) => type === 'dispatch')
    if (command?.type !== 'dispatch') return undefined
    attempts.set(requestId, command.attemptId)
    return command.upstreamId
  }
  return {
    send: (requestId, objectKey) => chosen(requestId, steering.handle({ type: 'request-arrived', requestId, host: route.host, path: route.prefix, objectKey, deadlineMs: 8_000, receivedAt: performance.now() })),
    refused: (requestId, report) => chosen(requestId, steering.handle({ type: 'attempt-refused', attemptId: attempts.get(requestId) ?? '', cause: 'shed', load: report })),
    answered: (requestId, report) => { steering.handle({ type: 'attempt-answered', attemptId: attempts.get(requestId) ?? '', status: 200, load: report }) }
  }
}

/** The engine as it was before popular objects were divided: it places all requests by the object's ranking. */
export function createUndividedRule (load: AffinityLoad, zone: string): Rule {
  return createEngineRule({ ...load, route: { ...load.route, hasAffinity: true } }, zone, { objectCopies: { countFor: () => 1, dividedCount: () => 0 } })
}

export function createComparedRule (name: Exclude<RuleName, 'engine' | 'undivided'>, load: AffinityLoad, zone: string, random: () => number): Rule {
  const table = createUpstreamTable(key => REGIONS[key])
  entriesOf(load).forEach(entry => table.put(entry, 0))
  const ranking = createRanking(REGIONS[zone], ['a', 'b', 'c'])
  const sent = new Map<string, Upstream>()
  function end (requestId: string, report: Load): void {
    const upstream = sent.get(requestId)
    if (upstream === undefined) return
    upstream.outstanding -= 1
    recordLoadReport(upstream, report, performance.now())
  }
  return {
    send: (requestId, objectKey) => {
      const ranked = ranking.rank({ service: 'shop', objectKey, homeRegions: [], upstreams: table.ofService('shop'), version: table.version() })
      const upstream = CHOICES[name](ranked, random, row => estimateLoad(row, performance.now()))
      upstream.outstanding += 1
      sent.set(requestId, upstream)
      return upstream.id
    },
    refused: (requestId, report) => {
      end(requestId, report)
      return undefined
    },
    answered: end
  }
}
