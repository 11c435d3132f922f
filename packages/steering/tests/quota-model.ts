/**
 * Model of many instances that divide the quotas of teams: callers in three regions, requests at random times, polls once a
 * second with the delays of the links, and failures of instances and links. Each instance has its own clocks.
 */
import type { InstanceEntry, InstanceWeight, Team } from '../src/index.js'
import type { QuotaExchange, QuotaGrant, QuotaLimits, QuotaRequest } from '../src/team-quota.js'
import { callerWeights } from '../src/index.js'
import { createQuotaExchange } from '../src/team-quota.js'

export interface ModelInstance { readonly id: string, readonly linkMbps: number, readonly region: number }

/** Demand of a team: requests per second from all callers, and the share of them that comes from a region, by time. */
export interface ModelTeam {
  readonly name: string
  readonly quota: NonNullable<Team['quota']>
  readonly demand: (second: number) => number
  readonly regionWeight?: (region: number, second: number) => number
  /** Instances that the callers of the team use, if they are not those that the directory names. */
  readonly only?: (instance: ModelInstance, second: number) => boolean
}

/** Changes an instance, a link or a quota at a time. */
export type ModelAction =
  | { readonly at: number, readonly type: 'kill' | 'restart' | 'add' | 'remove', readonly id: string }
  | { readonly at: number, readonly type: 'suspend', readonly id: string, readonly seconds: number }
  | { readonly at: number, readonly type: 'partition', readonly isCut: (a: ModelInstance, b: ModelInstance) => boolean }
  | { readonly at: number, readonly type: 'quota', readonly team: string, readonly quota: NonNullable<Team['quota']> }

export interface QuotaModel {
  readonly instances: readonly ModelInstance[]
  readonly teams: readonly ModelTeam[]
  readonly limits: QuotaLimits
  readonly seconds: number
  readonly seed: number
  readonly actions?: readonly ModelAction[]
  /** Share of the admitted requests that are refused later without having run. */
  readonly refusedShare?: number
  /** Requests before this time are not counted in the admitted share. */
  readonly countFrom?: number
  /** Tokens are not sent with grants; for comparison. */
  readonly withoutTokens?: boolean
}

export interface QuotaModelResult {
  /** Admitted part of the demand that one token bucket for all instances would admit. */
  readonly admittedShare: number
  /** The same by team. */
  readonly admittedShares: ReadonlyMap<string, number>
  /** Largest number of requests in a window relative to the limit, over all teams. */
  readonly worstWindow: number
  /** Largest sum of the shares that running instances hold, sampled for each team. */
  readonly largestShareSum: number
  /** Bytes of the rows in an inquiry and its reply, without HTTP headers. */
  readonly bytesPerInquiry: number
  readonly largestInquiryBytes: number
  /** Inquiries that an instance sends, on average. */
  readonly inquiriesPerSecond: number
}

const STEP_MS = 20
const POLL_MS = 500
const REGION_DELAY_MS = 20
const LOCAL_DELAY_MS = 1
/** Time from admission to the run at the upstream, at most. */
const MAX_RUN_DELAY_MS = 200
/** Time after which the other instances know of a change of the registry, at most. */
const MAX_REGISTRY_DELAY_MS = 1_500
/** Time after which the entry of an instance that was killed expires. */
const REGISTRY_TTL_MS = 8_000
const BIN_MS = 5_000
const WIDE_RATIO = 0.25

/** Numbers from 0 to 1 of a seeded generator (xorshift, 32 bits). */
function createRandom (seed: number): () => number {
  let state = (seed * 2_654_435_761 | 0) || 1
  return () => {
    state ^= state << 13
    state ^= state >>> 17
    state ^= state << 5
    return (state >>> 0) / 2 ** 32
  }
}

interface Node {
  readonly instance: ModelInstance
  quota: QuotaExchange
  isUp: boolean
  isRegistered: boolean
  /** Time for which the monotonic clock has stood still. */
  suspendedMs: number
  suspendedUntil: number
  pollAt: number
}

/** Instances of three regions; the first `wide` have links of 140 Mbit/s, the others 7. */
export function modelInstances (count: number, wide: number): readonly ModelInstance[] {
  return Array.from({ length: count }, (_, index) => ({ id: `entry-${index}`, region: index % 3, linkMbps: index < wide ? 140 : 7 }))
}

export function playQuotaModel (model: QuotaModel): QuotaModelResult {
  const { limits, seconds, seed, countFrom = 0 } = model
  const random = createRandom(seed)
  const quotas = new Map(model.teams.map(({ name, quota }) => [name, quota]))
  const teamOf = (name: string): Team => ({ name, apiKeys: [], priority: 0, quota: quotas.get(name), homeRegions: [] })
  let teams = new Map(model.teams.map(({ name }) => [name, teamOf(name)]))
  const queue: Array<{ readonly at: number, readonly run: (now: number) => void }> = []
  const later = (at: number, run: (now: number) => void): void => { queue.push({ at, run }) }
  let isCut: (a: ModelInstance, b: ModelInstance) => boolean = () => false
  const nodes = new Map<string, Node>()
  const bytes = { count: 0, total: 0, largest: 0 }

  const clockOf = (node: Node, now: number): number => now - node.suspendedMs
  const isRunning = (node: Node, now: number): boolean => node.isUp && now >= node.suspendedUntil
  const registered = (): readonly ModelInstance[] => [...nodes.values()].filter(node => node.isRegistered).map(({ instance }) => instance)

  function weigh (instances: readonly ModelInstance[]): readonly InstanceWeight[] {
    const entries = instances.map<InstanceEntry>(({ id, region, linkMbps }) => ({ id, region: String(region), zone: '', callerAddress: '', peerAddress: '', linkMbps }))
    const weights = callerWeights(entries)
    return entries.map(({ id }, index) => ({ id, weight: weights[index] }))
  }

  function start (instance: ModelInstance, now: number): Node {
    const node: Node = {
      instance,
      quota: createQuotaExchange({ self: instance.id, limits, startedAt: now, readWall: () => wall }),
      isUp: true,
      isRegistered: true,
      suspendedMs: 0,
      suspendedUntil: 0,
      pollAt: now + random() * POLL_MS
    }
    nodes.set(instance.id, node)
    node.quota.updateTeams([...teams.values()], now)
    return node
  }
  let wall = 0

  function announce (now: number): void {
    const instances = weigh(registered())
    for (const node of nodes.values()) {
      later(now + random() * MAX_REGISTRY_DELAY_MS, at => node.quota.updateInstances(instances, clockOf(node, at)))
    }
  }

  function delay (a: ModelInstance, b: ModelInstance): number {
    return a.region === b.region ? LOCAL_DELAY_MS : REGION_DELAY_MS
  }

  function poll (node: Node, now: number): void {
    const liveIds = registered().map(({ id }) => id).filter(id => {
      const other = nodes.get(id) as Node
      return other.isUp && !isCut(node.instance, other.instance)
    })
    const askedAt = { monotonic: clockOf(node, now), wall: now }
    const { quota } = node
    for (const { peerId, requests } of quota.inquiries(liveIds, askedAt.monotonic)) {
      const peer = nodes.get(peerId) as Node
      const asked: readonly QuotaRequest[] = model.withoutTokens === true ? requests.map(([team, share]) => [team, share, 0]) : requests
      const wait = delay(node.instance, peer.instance)
      later(now + wait, at => {
        if (!isRunning(peer, at) || isCut(node.instance, peer.instance)) return
        const grants: readonly QuotaGrant[] = peer.quota.grant(node.instance.id, asked, clockOf(peer, at))
        // The forms in which the gateway sends them.
        const size = asked.map(([team, share, tokens]) => `${encodeURIComponent(team)},${share},${tokens}`).join(';').length + JSON.stringify(grants).length
        bytes.count += 1
        bytes.total += size
        bytes.largest = Math.max(bytes.largest, size)
        later(at + wait, function receive (arrival) {
          if (!node.isUp || node.quota !== quota || isCut(node.instance, peer.instance)) return
          // The reply waits in the socket of a suspended machine.
          if (arrival < node.suspendedUntil) later(node.suspendedUntil, receive)
          else quota.recordGrants(grants, askedAt, clockOf(node, arrival))
        })
      })
    }
  }

  function apply (action: ModelAction, now: number): void {
    if (action.type === 'partition') isCut = action.isCut
    else if (action.type === 'quota') {
      quotas.set(action.team, action.quota)
      teams = new Map([...teams].map(([name, team]) => [name, name === action.team ? teamOf(name) : team]))
      // As instances ignore older versions of the deployment, each one applies what is in force when it hears of a change.
      for (const node of nodes.values()) later(now + random() * MAX_REGISTRY_DELAY_MS, at => node.quota.updateTeams([...teams.values()], clockOf(node, at)))
    } else if (action.type === 'add') {
      start(model.instances.find(({ id }) => id === action.id) as ModelInstance, now)
      announce(now)
    } else {
      const node = nodes.get(action.id) as Node
      if (action.type === 'suspend') {
        node.suspendedUntil = now + action.seconds * 1_000
        later(node.suspendedUntil, () => { node.suspendedMs += action.seconds * 1_000 })
      } else if (action.type === 'restart') {
        start(node.instance, now).quota.updateInstances(weigh(registered()), now)
        announce(now)
      } else {
        node.isUp = false
        if (action.type === 'remove') {
          node.isRegistered = false
          announce(now)
        } else {
          later(now + REGISTRY_TTL_MS, at => {
            if (nodes.get(action.id) !== node) return
            node.isRegistered = false
            announce(at)
          })
        }
      }
    }
  }

  let namedAt = -1
  const namedCache = new Map<string, readonly Node[]>()

  /** Instances that the directory names to callers of a region; computed once in each step. */
  function named (region: number, now: number, team: ModelTeam): readonly Node[] {
    const step = Math.floor(now / STEP_MS)
    if (namedAt !== step) namedCache.clear()
    namedAt = step
    const key = `${team.only === undefined ? '' : team.name} ${region}`
    let found = namedCache.get(key)
    if (found === undefined) namedCache.set(key, found = computeNamed(region, now, team))
    return found
  }

  function computeNamed (region: number, now: number, { only }: ModelTeam): readonly Node[] {
    const up = [...nodes.values()].filter(node => isRunning(node, now) && (only === undefined || only(node.instance, now / 1_000)))
    const inRegion = up.filter(({ instance }) => instance.region === region)
    const from = inRegion.length > 0 ? inRegion : up
    const best = Math.max(...from.map(({ instance }) => instance.linkMbps))
    return from.filter(({ instance }) => instance.linkMbps >= best * WIDE_RATIO)
  }

  const runs = new Map<string, number[]>(model.teams.map(({ name }) => [name, []]))
  const reference = new Map(model.teams.map(({ name, quota }) => [name, { tokens: quota.burst, at: 0 }]))
  const bins = new Map<string, Map<number, { within: number, admitted: number }>>(model.teams.map(({ name }) => [name, new Map()]))

  function request (team: ModelTeam, at: number): void {
    const weights = [0, 1, 2].map(region => team.regionWeight?.(region, at / 1_000) ?? 1)
    let draw = random() * (weights[0] + weights[1] + weights[2])
    const region = weights.findIndex(weight => (draw -= weight) < 0)
    const candidates = named(region, at, team)
    if (candidates.length === 0) return
    const node = candidates[Math.floor(random() * candidates.length)]
    const key = Math.floor(at / BIN_MS)
    const bin = bins.get(team.name)?.get(key) ?? { within: 0, admitted: 0 }
    bins.get(team.name)?.set(key, bin)
    const bucket = reference.get(team.name) as { tokens: number, at: number }
    const quota = quotas.get(team.name) as NonNullable<Team['quota']>
    bucket.tokens = Math.min(Math.max(1, quota.burst), bucket.tokens + (at - bucket.at) * quota.ratePerSecond / 1_000)
    bucket.at = at
    if (bucket.tokens >= 1) {
      bucket.tokens -= 1
      bin.within += 1
    }
    const asked = teams.get(team.name) as Team
    if (!node.quota.tryAcquire(asked, clockOf(node, at)).admitted) return
    bin.admitted += 1
    if (random() < (model.refusedShare ?? 0)) {
      const { quota: engine } = node
      later(at + random() * MAX_RUN_DELAY_MS, end => engine.giveBack(teams.get(team.name) as Team, clockOf(node, end)))
    } else runs.get(team.name)?.push(at + random() * MAX_RUN_DELAY_MS)
  }

  const added = new Set(model.actions?.flatMap(action => action.type === 'add' ? [action.id] : []))
  // Instances that run from the begin have started long ago.
  const startedAt = -60_000
  for (const instance of model.instances) if (!added.has(instance.id)) start(instance, startedAt)
  for (const node of nodes.values()) {
    node.quota.updateInstances(weigh(registered()), startedAt)
    node.pollAt = random() * POLL_MS
  }
  for (const action of model.actions ?? []) later(action.at * 1_000, now => apply(action, now))

  let largestShareSum = 0

  for (let now = 0; now < seconds * 1_000; now += STEP_MS) {
    wall = now
    const due = queue.filter(({ at }) => at <= now).sort((a, b) => a.at - b.at)
    if (due.length > 0) queue.splice(0, queue.length, ...queue.filter(({ at }) => at > now))
    due.forEach(({ run }) => run(now))
    for (const node of nodes.values()) {
      if (isRunning(node, now) && now >= node.pollAt) {
        node.pollAt = now + POLL_MS
        node.quota.prune(clockOf(node, now))
        poll(node, now)
      }
    }
    for (const team of model.teams) {
      // Times of a Poisson process within the step.
      for (let left = team.demand(now / 1_000) * STEP_MS / 1_000 + Math.log(1 - random()); left > 0; left += Math.log(1 - random())) request(team, now)
    }
    if (now % 1_000 === 0) {
      const sums = new Map<string, number>()
      for (const node of nodes.values()) {
        if (isRunning(node, now)) node.quota.leasedShares(clockOf(node, now)).forEach(([team, share]) => sums.set(team, (sums.get(team) ?? 0) + share))
      }
      largestShareSum = Math.max(largestShareSum, ...sums.values())
    }
  }

  let worstWindow = 0
  const lowered = new Map(model.actions?.flatMap(action => action.type === 'quota' ? [[action.team, action] as const] : []))
  for (const { name, quota } of model.teams) {
    const times = (runs.get(name) as number[]).sort((a, b) => a - b)
    let first = 0
    times.forEach((time, index) => {
      while (times[first] <= time - limits.windowMs) first += 1
      const change = lowered.get(name)
      // A changed quota applies to windows that begin when all instances have known it for one window.
      const isChanged = change !== undefined && times[first] >= change.at * 1_000 + MAX_REGISTRY_DELAY_MS + limits.windowMs
      const inForce = isChanged ? change.quota : { ratePerSecond: Math.max(quota.ratePerSecond, change?.quota.ratePerSecond ?? 0), burst: Math.max(quota.burst, change?.quota.burst ?? 0) }
      const limit = (inForce.ratePerSecond * limits.windowMs / 1_000 + inForce.burst) * (1 + limits.overshoot) + limits.slack
      worstWindow = Math.max(worstWindow, (index - first + 1) / limit)
    })
  }
  let within = 0
  let admitted = 0
  const admittedShares = new Map<string, number>()
  for (const [name, byTime] of bins) {
    const counted = [...byTime].filter(([key]) => key * BIN_MS >= countFrom * 1_000).map(([, bin]) => bin)
    const teamWithin = counted.reduce((sum, bin) => sum + bin.within, 0)
    const teamAdmitted = counted.reduce((sum, bin) => sum + Math.min(bin.within, bin.admitted), 0)
    admittedShares.set(name, teamWithin > 0 ? teamAdmitted / teamWithin : 1)
    within += teamWithin
    admitted += teamAdmitted
  }
  return { admittedShare: within > 0 ? admitted / within : 1, admittedShares, worstWindow, largestShareSum, bytesPerInquiry: bytes.total / Math.max(1, bytes.count), largestInquiryBytes: bytes.largest, inquiriesPerSecond: bytes.count / seconds / model.instances.length }
}
