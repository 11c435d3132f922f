/**
 * The steering engine of an entry instance: decides to which upstream, in any availability zone, each request goes. The
 * program around it passes in events and carries out the returned commands in order. The engine has no sockets and
 * reads only the runtime's clock.
 *
 * Use it where an instance connects directly to the upstreams of all zones, as the gateway package does. The engine of
 * the core package is separate: there an instance dispatches only to upstreams of its own zone and forwards other
 * requests to other instances. The two have their own types and rules under similar names, such as Upstream, Route,
 * Service and the retry budget.
 */
import type { SteeringCommand } from './command.js'
import type { Deployment, Route, Team } from './deployment.js'
import type { SteeringEvent } from './event.js'
import type { ObjectCopies } from './object-copies.js'
import type { UpstreamLimits } from './placement.js'
import type { RetryBudgetBound } from './retry-budget.js'
import type { RouteIndex } from './route-index.js'
import type { TeamIndex } from './team-index.js'
import type { QuotaGrant, QuotaInquiry, QuotaLimits, QuotaRequest, TeamQuota } from './team-quota.js'
import type { Upstream, UpstreamDemand, UpstreamEntry } from './upstream.js'
import { monotonicNow } from '@arbutustray/core'
import { createColdRateLimit } from './cold-rate-limit.js'
import { createInstanceShare } from './instance-share.js'
import { createObjectCopies } from './object-copies.js'
import { createObjectPopularity } from './object-popularity.js'
import { createPlacement } from './placement.js'
import { createRanking } from './ranking.js'
import { createRequestLifecycle } from './request-lifecycle.js'
import { createRequestLimit } from './request-limit.js'
import { createRetryBudget } from './retry-budget.js'
import { createRouteIndex } from './route-index.js'
import { createRegionShiftLimit } from './region-shift-limit.js'
import { createOutlierDetection } from './outlier-detection.js'
import { createTeamIndex, identifyTeam } from './team-index.js'
import { createQuotaExchange } from './team-quota.js'
import { createStatementRecorder } from './upstream-statements.js'
import { createUpstreamTable } from './upstream-table.js'
import { createZoneRoundTrips } from './zone-round-trips.js'

/** Identity of the instance and limits of the engine. */
export interface SteeringOptions {
  readonly self: { readonly id: string, readonly zone: string, readonly region: string }
  /** Region of each zone. */
  readonly regions: Readonly<Record<string, string>>
  readonly retries: RetryBudgetBound
  /** A cold upstream gets at most `coldRate * factor + extra` requests per second, with its service's `coldRate`. */
  readonly cold: { readonly factor: number, readonly extra: number }
  /** How the limits on teams are checked; `undefined` in a deployment without teams. */
  readonly quota?: QuotaLimits
  /** Replaces the division of quotas among the instances. */
  readonly teamQuota?: TeamQuota
  /** Replaces the rule for the number of upstreams that a popular object is divided over. */
  readonly objectCopies?: ObjectCopies
}

export interface Steering {
  readonly handle: (event: SteeringEvent) => readonly SteeringCommand[]
  readonly deployment: () => Deployment | undefined
  /** Route of a request in the current deployment, for a host in lower case without port and a path without query. */
  readonly findRoute: (host: string, path: string) => Route | undefined
  /** Current upstreams, for status and tests. */
  readonly upstreams: () => Iterable<Upstream>
  /** Zones whose upstreams get no requests. */
  readonly evacuations: () => readonly string[]
  /** This instance's demand for upstreams that state a limit, for the other instances. */
  readonly limitedDemands: () => readonly UpstreamDemand[]
  /** What this instance asks live instances for to cover shortages of teams' quotas. */
  readonly quotaInquiries: (liveIds: readonly string[]) => readonly QuotaInquiry[]
  /** Grants another instance what this one does not need of teams' quotas. */
  readonly grantQuota: (peerId: string, requests: readonly QuotaRequest[]) => readonly QuotaGrant[]
  /** Shares of the quotas for which this instance holds leases, by team. */
  readonly leasedQuotaShares: () => ReadonlyArray<readonly [team: string, share: number]>
  /** Number of requests without a final answer. */
  readonly pending: () => number
}

type Handlers = { readonly [T in SteeringEvent['type']]: (event: Extract<SteeringEvent, { type: T }>, now: number) => readonly SteeringCommand[] }

const NO_COMMANDS: readonly SteeringCommand[] = []
/** Limits for a service that the deployment does not list. */
const UNCONFIGURED_SERVICE = { coldRate: 1, connectionLimit: 1 } as const

/** Smallest priority number of a route by service. */
function topPriorities ({ routes }: Deployment): Map<string, number> {
  const priorities = new Map<string, number>()
  for (const { parts, priority } of routes) {
    for (const { service } of parts) priorities.set(service, Math.min(priorities.get(service) ?? Infinity, priority))
  }
  return priorities
}

export function createSteering (options: SteeringOptions): Steering {
  const { self, regions } = options
  const instanceShare = createInstanceShare(self.id)
  const upstreams = createUpstreamTable(zone => regions[zone] ?? zone)
  const outlierDetection = createOutlierDetection(upstreams)
  const roundTrips = createZoneRoundTrips(self)
  const coldRateLimit = createColdRateLimit(instanceShare)
  const requestLimit = createRequestLimit(self.id, instanceShare, upstreams)
  const statements = createStatementRecorder(upstreams, requestLimit)
  const retryBudget = createRetryBudget(options.retries, instanceShare.count)
  const teamQuota = createQuotaExchange({ self: self.id, limits: options.quota, startedAt: monotonicNow() })
  let deployment: Deployment | undefined
  let routes: RouteIndex | undefined
  let services = new Map<string, Deployment['services'][number]>()
  let priorities = new Map<string, number>()
  let teams: TeamIndex | undefined
  let evacuations: ReadonlySet<string> = new Set()

  function upstreamLimitsOf (service: string): UpstreamLimits {
    const { coldRate, connectionLimit } = services.get(service) ?? UNCONFIGURED_SERVICE
    return {
      totalColdRequestsPerSecond: coldRate * options.cold.factor + options.cold.extra,
      instanceMaxConnections: Math.max(1, Math.floor(connectionLimit / instanceShare.count()))
    }
  }

  /** Teams are compared first, then routes. An anonymous request has the priority of the least urgent team. */
  const hasTopPriority = (route: Route, team: Team | undefined): boolean =>
    (teams === undefined || (team?.priority ?? teams.lowestPriority) <= teams.topPriority) &&
    route.parts.every(({ service }) => route.priority <= (priorities.get(service) ?? Infinity))
  const placement = createPlacement({
    upstreams, popularity: createObjectPopularity(), copies: options.objectCopies ?? createObjectCopies(), ranking: createRanking(self.region, [...new Set(Object.values(regions))]), coldRateLimit, requestLimit, roundTrips, regionShiftLimit: createRegionShiftLimit(), upstreamLimitsOf, isEvacuated: zone => evacuations.has(zone)
  })
  const findRoute = (host: string, path: string): Route | undefined => routes?.find(host, path)
  const lifecycle = createRequestLifecycle({
    upstreams,
    outlierDetection,
    placement,
    coldRateLimit,
    requestLimit,
    statements,
    retryBudget,
    roundTrips,
    teamQuota: options.teamQuota ?? teamQuota,
    findRoute,
    identify: (apiKey, route) => identifyTeam(teams, apiKey, route),
    hasTopPriority
  })

  function putUpstream (entry: UpstreamEntry, now: number): readonly SteeringCommand[] {
    const wasDraining = upstreams.get(entry.id)?.entry.state === 'draining'
    const isNew = upstreams.put(entry, now)
    if (!isNew && entry.state === 'draining' && !wasDraining) {
      return [{ type: 'note', subject: 'upstream-draining', id: entry.id, detail: `${entry.service} ${entry.zone}` }]
    }
    if (!isNew) return NO_COMMANDS
    return [{ type: 'note', subject: 'upstream-added', id: entry.id, detail: `${entry.service} ${entry.zone} cold ${entry.coldMs} ms` }]
  }

  function removeUpstream (id: string, detail: string): readonly SteeringCommand[] {
    return upstreams.remove(id) ? [{ type: 'note', subject: 'upstream-removed', id, detail }] : NO_COMMANDS
  }

  /** Keeps an upstream in use although its entry is missing, because the entry may only have expired. */
  function keepMissing (id: string, graceMs: number, now: number): readonly SteeringCommand[] {
    return upstreams.markMissing(id, now + graceMs) ? [{ type: 'note', subject: 'upstream-missing', id, detail: `in use for ${Math.round(graceMs)} ms more` }] : NO_COMMANDS
  }

  function createProbe (upstream: Upstream): SteeringCommand {
    const healthPath = services.get(upstream.entry.service)?.healthPath ?? '/'
    return { type: 'probe', upstreamId: upstream.id, address: upstream.entry.address, healthPath }
  }

  /** Treats the upstreams of a zone that takes traffic again as cold until a probe states their cold time. */
  function endEvacuation (zone: string, now: number): readonly SteeringCommand[] {
    const commands: SteeringCommand[] = [{ type: 'note', subject: 'evacuation', id: zone, detail: 'ended' }]
    for (const upstream of upstreams.all()) {
      if (upstream.entry.zone !== zone) continue
      upstream.coldUntil = Math.max(upstream.coldUntil, now + (services.get(upstream.entry.service)?.coldMs ?? 0))
      if (upstream.pausedUntil <= now) commands.push(createProbe(upstream))
    }
    return commands
  }

  const handlers: Handlers = {
    tick: (_event, now) => {
      const commands: SteeringCommand[] = []
      for (const id of upstreams.overdueIds(now)) commands.push(...removeUpstream(id, 'not registered again'))
      for (const upstream of outlierDetection.claimDueProbes(now)) commands.push(createProbe(upstream))
      commands.push(...lifecycle.onTick(now))
      teamQuota.prune(now)
      return commands
    },
    'request-arrived': (event, now) => lifecycle.onRequestArrived(event, deployment !== undefined, now),
    'attempt-refused': (event, now) => lifecycle.onAttemptRefused(event, now),
    'attempt-answered': (event, now) => lifecycle.onAttemptAnswered(event, now),
    'attempt-broken': (event, now) => lifecycle.onAttemptBroken(event, now),
    'request-cancelled': (event, now) => lifecycle.onRequestCancelled(event.requestId, now),
    'upstream-probed': (event, now) => {
      const upstream = upstreams.get(event.upstreamId)
      if (upstream === undefined) return NO_COMMANDS
      if (event.answeredBy !== undefined && event.answeredBy !== upstream.id) {
        return removeUpstream(upstream.id, `address answers as ${event.answeredBy}`)
      }
      const notes = statements.recordProbe(upstream, event, now)
      if (!event.healthy) return [...notes, ...outlierDetection.recordFailure(upstream, 'unreachable', now)]
      upstream.coldUntil = now + event.coldMs
      return [...notes, ...outlierDetection.restore(upstream, now)]
    },
    'zone-reached': event => {
      roundTrips.record(event.zone, event.roundTripMs)
      return NO_COMMANDS
    },
    'deployment-received': (event, now) => {
      if (deployment !== undefined && event.deployment.version <= deployment.version) return NO_COMMANDS
      deployment = event.deployment
      routes = createRouteIndex(deployment)
      services = new Map(deployment.services.map(service => [service.name, service]))
      priorities = topPriorities(deployment)
      teamQuota.updateTeams(deployment.teams ?? [], now)
      teams = deployment.teams === undefined ? undefined : createTeamIndex(deployment.teams)
      const conflicts = teams?.conflicts ?? []
      return [
        { type: 'note', subject: 'deployment', id: String(deployment.version), detail: `${deployment.routes.length} routes` },
        ...conflicts.map(({ team, earlierTeam, keys }) => ({ type: 'note', subject: 'team-key-conflict', id: team, detail: `${keys} of its API keys belong to ${earlierTeam}` }) as const)
      ]
    },
    'upstreams-listed': (event, now) => {
      const commands = event.entries.flatMap(entry => putUpstream(entry, now))
      const listed = new Set(event.entries.map(({ id }) => id))
      for (const { id } of [...upstreams.all()]) {
        if (listed.has(id)) continue
        commands.push(...(event.graceMs > 0 ? keepMissing(id, event.graceMs, now) : removeUpstream(id, 'not in the registry')))
      }
      return commands
    },
    'upstream-changed': (event, now) => {
      if (event.entry !== undefined) return putUpstream(event.entry, now)
      return event.graceMs > 0 ? keepMissing(event.id, event.graceMs, now) : removeUpstream(event.id, 'removed from the registry')
    },
    'evacuations-received': (event, now) => {
      const next = new Set(event.zones)
      const ended = [...evacuations].filter(zone => !next.has(zone))
      const begun = [...next].filter(zone => !evacuations.has(zone))
      evacuations = next
      return [
        ...begun.map(zone => ({ type: 'note', subject: 'evacuation', id: zone, detail: 'begun' }) as const),
        ...ended.flatMap(zone => endEvacuation(zone, now))
      ]
    },
    'stop-begun': event => {
      lifecycle.onStopBegun(event)
      return NO_COMMANDS
    },
    'instances-counted': (event, now) => {
      instanceShare.update(event.ids)
      teamQuota.updateInstances(event.ids.map((id, index) => ({ id, weight: event.weights?.[index] ?? 1 })), now)
      return NO_COMMANDS
    },
    'peer-demands-reported': (event, now) => {
      requestLimit.recordPeerDemands(event.peerId, event.demands, now)
      return NO_COMMANDS
    },
    'quota-granted': (event, now) => {
      teamQuota.recordGrants(event.grants, event.askedAt, now)
      return NO_COMMANDS
    }
  }

  return {
    handle: event => (handlers[event.type] as (event: SteeringEvent, now: number) => readonly SteeringCommand[])(event, monotonicNow()),
    deployment: () => deployment,
    findRoute,
    upstreams: () => upstreams.all(),
    evacuations: () => [...evacuations],
    limitedDemands: () => requestLimit.demands(monotonicNow()),
    quotaInquiries: liveIds => teamQuota.inquiries(liveIds, monotonicNow()),
    grantQuota: (peerId, requests) => teamQuota.grant(peerId, requests, monotonicNow()),
    leasedQuotaShares: () => teamQuota.leasedShares(monotonicNow()),
    pending: lifecycle.pendingCount
  }
}
