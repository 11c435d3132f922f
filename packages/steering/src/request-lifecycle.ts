/**
 * Handles each request from its arrival to its single final answer: dispatch, retries, hedging and timeout. Each
 * handler takes one event of a request or attempt and returns the commands to carry out.
 *
 * A request is retried only if the earlier attempt provably did not run or if the request is idempotent. A status that
 * promises that nothing has run is used only while no attempt may have run.
 */
import type { ColdRateLimit } from './cold-rate-limit.js'
import type { PlacementBasis, Respond, SteeringCommand } from './command.js'
import type { Route, Team } from './deployment.js'
import type { AttemptAnswered, AttemptBroken, AttemptRefused, RequestArrived } from './event.js'
import type { StopLimits } from './stop-schedule.js'
import type { OutlierDetection } from './outlier-detection.js'
import type { Candidate, Placement } from './placement.js'
import type { Refusal } from './refusal.js'
import type { Attempt, PendingRequest } from './pending-request.js'
import type { RequestLimit } from './request-limit.js'
import type { RetryBudget } from './retry-budget.js'
import type { Identity } from './team-index.js'
import type { TeamQuota } from './team-quota.js'
import type { Upstream } from './upstream.js'
import type { StatementRecorder } from './upstream-statements.js'
import type { UpstreamTable } from './upstream-table.js'
import type { ZoneRoundTrips } from './zone-round-trips.js'
import { admit, canEndBeforeStop, DEFAULT_RETRY_AFTER_MS, IDLE_REFUSAL_RETRY_AFTER_MS, isIdleRefusal, MAX_RETRY_AFTER_MS, STOPPING_RETRY_AFTER_MS } from './admission.js'
import { IS_IDEMPOTENT } from './deployment.js'
import { createExpectedDuration } from './expected-duration.js'
import { recordMeasuredSlowdown } from './load-estimate.js'
import { POSSIBLY_RUN, REFUSAL_STATUS } from './refusal.js'
import { homeRegionsOf } from './team-index.js'
import { createTrafficSplit } from './traffic-split.js'
import { createUsualDeadline } from './usual-deadline.js'

/** Handlers of the events of requests and attempts. Times are on the monotonic clock. */
export interface RequestLifecycle {
  readonly onRequestArrived: (event: RequestArrived, hasDeployment: boolean, now: number) => readonly SteeringCommand[]
  readonly onAttemptRefused: (event: AttemptRefused, now: number) => readonly SteeringCommand[]
  readonly onAttemptAnswered: (event: AttemptAnswered, now: number) => readonly SteeringCommand[]
  readonly onAttemptBroken: (event: AttemptBroken, now: number) => readonly SteeringCommand[]
  readonly onRequestCancelled: (requestId: string, now: number) => readonly SteeringCommand[]
  /** From now on, requests that may outlast the process are refused. */
  readonly onStopBegun: (limits: StopLimits) => void
  /** Ends the requests and abandoned attempts whose time is up, and hedges slow requests. */
  readonly onTick: (now: number) => readonly SteeringCommand[]
  /** Number of requests without a final answer. */
  readonly pendingCount: () => number
}

export interface RequestLifecycleDependencies {
  readonly upstreams: UpstreamTable
  readonly outlierDetection: OutlierDetection
  readonly placement: Placement
  readonly coldRateLimit: ColdRateLimit
  readonly requestLimit: RequestLimit
  readonly statements: StatementRecorder
  readonly retryBudget: RetryBudget
  readonly roundTrips: ZoneRoundTrips
  readonly findRoute: (host: string, path: string) => Route | undefined
  /** Identifies the team of a request by its API key. */
  readonly identify: (apiKey: string | undefined, route: Route) => Identity
  readonly teamQuota: TeamQuota
  /** Whether no other team, and no other route to the same services, has a higher priority. */
  readonly hasTopPriority: (route: Route, team: Team | undefined) => boolean
}

/** Limit on the attempts of one request, including refused ones. */
const MAX_DISPATCHES = 4
/** Shortest remaining time in which an attempt can still be answered, in milliseconds. */
const MIN_ATTEMPT_MS = 20
/** Time without an answer, in objectives of the route, after which an idempotent request is hedged. */
const HEDGE_AFTER_OBJECTIVES = 1.5
/**
 * Time after an invalid or misassigned answer in which connections are closed after the answer to a non-idempotent
 * request, in milliseconds.
 */
const NO_CONNECTION_REUSE_MS = 5_000
/** Time reserved for a tick and for sending the answer, in milliseconds; one that reaches the caller after its deadline is lost. */
const ANSWER_RESERVE_MS = 50
/** Lowest HTTP status that counts as a failure of the upstream. */
const MIN_ERROR_STATUS = 500

/** Reason of the final answer if an attempt with the cause is not followed by another one. */
const REFUSAL_AFTER: { readonly [C in AttemptRefused['cause']]: Refusal } = {
  shed: 'shed', misdirected: 'no-upstream', unreachable: 'no-upstream', unsent: 'timeout-before-run', unsendable: 'unsendable'
}
/** Causes in which the answer comes from the upstream that was meant. */
const OWN_ANSWER_CAUSES: ReadonlySet<AttemptRefused['cause']> = new Set(['shed'])
/** Causes that show that the upstream answers. */
const ANSWERED_CAUSES: ReadonlySet<AttemptRefused['cause']> = new Set(['shed', 'misdirected'])

function basisOf ({ upstream, rank, load, loadAgeMs, slowdown, expectedMs, kind, isElsewhere }: Candidate): PlacementBasis {
  return { upstreamId: upstream.id, rank, load, loadAgeMs, slowdown, expectedMs, kind, isElsewhere }
}

export function createRequestLifecycle (dependencies: RequestLifecycleDependencies): RequestLifecycle {
  const { upstreams, outlierDetection, placement, coldRateLimit, requestLimit, statements, retryBudget, roundTrips, teamQuota } = dependencies
  const requests = new Map<string, PendingRequest>()
  /** Non-idempotent requests whose callers have left, with open attempts. */
  const abandoned = new Set<PendingRequest>()
  const attempts = new Map<string, Attempt>()
  const expectedDuration = createExpectedDuration()
  const trafficSplit = createTrafficSplit()
  const usualDeadline = createUsualDeadline()
  let lastAttemptNumber = 0
  let stopLimits: StopLimits | undefined

  function createRefusal (requestId: string, route: Route | undefined, reason: Refusal, retryAfterMs?: number, team?: Team): Respond {
    return {
      type: 'respond',
      requestId,
      route: route?.name,
      status: REFUSAL_STATUS[reason],
      reason,
      ...(team === undefined ? {} : { team: team.name }),
      ...(retryAfterMs === undefined ? {} : { retryAfterMs })
    }
  }

  /** Removes an attempt from the tables and returns it; `undefined` if it has already ended. */
  function endAttempt (attemptId: string): { attempt: Attempt, upstream: Upstream | undefined, request: PendingRequest | undefined } | undefined {
    const attempt = attempts.get(attemptId)
    if (attempt === undefined) return undefined
    attempts.delete(attemptId)
    const upstream = upstreams.get(attempt.upstreamId)
    if (upstream !== undefined) upstream.outstanding = Math.max(0, upstream.outstanding - 1)
    const request = requests.get(attempt.requestId)
    request?.attempts.delete(attemptId)
    return { attempt, upstream, request }
  }

  function cancelAttempts (request: PendingRequest): readonly SteeringCommand[] {
    return [...request.attempts.keys()].filter(attemptId => endAttempt(attemptId) !== undefined).map(attemptId => ({ type: 'cancel', attemptId }))
  }

  /** Gives a request its final answer and cancels its open attempts. */
  function finish (request: PendingRequest, answer: SteeringCommand): readonly SteeringCommand[] {
    requests.delete(request.id)
    return [answer, ...cancelAttempts(request)]
  }

  /** Relays the error answer of an upstream if there is one, else refuses the request for the given reason. */
  function finishWithFailure (request: PendingRequest, reason: Refusal, now: number, retryAfterMs?: number): readonly SteeringCommand[] {
    if (request.errorAttemptId !== undefined) {
      return finish(request, { type: 'relay', requestId: request.id, attemptId: request.errorAttemptId, route: request.route.name })
    }
    if (request.team !== undefined && !POSSIBLY_RUN.has(reason)) teamQuota.giveBack(request.team, now)
    return finish(request, createRefusal(request.id, request.route, reason, retryAfterMs, request.team))
  }

  /** Starts an attempt at the chosen upstream. */
  function dispatch (request: PendingRequest, choice: Candidate, now: number): SteeringCommand {
    const { upstream } = choice
    lastAttemptNumber += 1
    const attempt: Attempt = {
      id: String(lastAttemptNumber), requestId: request.id, upstreamId: upstream.id, startedAt: now, expectedWorkMs: expectedDuration.estimateMs(request.route)
    }
    attempts.set(attempt.id, attempt)
    request.attempts.set(attempt.id, attempt)
    request.tried.add(upstream.id)
    request.dispatches += 1
    upstream.outstanding += 1
    coldRateLimit.recordAttempt(upstream, now)
    requestLimit.recordAttempt(upstream, now)
    return {
      type: 'dispatch',
      requestId: request.id,
      attemptId: attempt.id,
      route: request.route.name,
      upstreamId: upstream.id,
      zone: upstream.entry.zone,
      address: upstream.entry.address,
      ...(request.team === undefined ? {} : { team: request.team.name }),
      timeoutMs: request.expiresAt - now,
      singleUse: now < upstream.noConnectionReuseUntil && !IS_IDEMPOTENT[request.route.kind],
      basis: basisOf(choice)
    }
  }

  function chooseUpstream (request: PendingRequest, now: number): Candidate | undefined {
    const { service, objectKey, homeRegions, route, tried } = request
    return placement.choose({ service, objectKey, hasAffinity: route.hasAffinity, homeRegions, tried, expectedWorkMs: expectedDuration.estimateMs(route) }, now)
  }

  /** Time until the first upstream of a service takes requests again, if some asked for a pause. */
  function retryAfterMsFor (service: string, now: number): number {
    const pauses = upstreams.ofService(service).filter(({ entry, isLeaving, pausedUntil }) => entry.state === 'ready' && !isLeaving && pausedUntil > now)
    if (pauses.length === 0) return DEFAULT_RETRY_AFTER_MS
    const shortestMs = Math.min(...pauses.map(({ pausedUntil }) => pausedUntil - now))
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(DEFAULT_RETRY_AFTER_MS, shortestMs))
  }

  /** Retries a request that has no open attempt if the limits allow it, else gives it its final answer. */
  function retryOrFail (request: PendingRequest, reason: Refusal, now: number): readonly SteeringCommand[] {
    const retryAfterMs = request.possibleRuns > 0 ? undefined : request.wasRefusedByIdle ? IDLE_REFUSAL_RETRY_AFTER_MS : retryAfterMsFor(request.service, now)
    const remainingMs = request.expiresAt - now
    if (request.dispatches >= MAX_DISPATCHES || request.possibleRuns >= request.route.attempts || remainingMs < MIN_ATTEMPT_MS) {
      return finishWithFailure(request, reason, now, retryAfterMs)
    }
    const choice = chooseUpstream(request, now)
    if (choice === undefined || !retryBudget.tryAcquire(request.service, now)) return finishWithFailure(request, reason, now, retryAfterMs)
    return [dispatch(request, choice, now)]
  }

  /** Handles the failure of an attempt that may have run. */
  function handleFailedAttempt (request: PendingRequest, reason: Refusal, now: number): readonly SteeringCommand[] {
    request.possibleRuns += 1
    if (request.attempts.size > 0) return []
    if (!IS_IDEMPOTENT[request.route.kind]) return finishWithFailure(request, reason, now)
    return retryOrFail(request, reason, now)
  }

  /** Handles the answer of an upstream that failed to execute an idempotent request, or one that would cut off others. */
  function handleFailedAnswer (request: PendingRequest, { attemptId, isPartial }: AttemptAnswered, now: number): readonly SteeringCommand[] {
    const earlierErrorId = request.errorAttemptId
    request.errorAttemptId = attemptId
    const commands = handleFailedAttempt(request, 'outcome-unknown', now)
    if (isPartial !== true || commands.some(({ type }) => type === 'relay')) return commands
    request.errorAttemptId = earlierErrorId
    return [{ type: 'cancel', attemptId }, ...commands]
  }

  function createRequest (event: RequestArrived, route: Route, team: Team | undefined, homeRegions: readonly string[]): PendingRequest {
    const timeoutMs = Math.min(route.timeoutMs, (event.deadlineMs ?? Infinity) - ANSWER_RESERVE_MS)
    return {
      id: event.requestId,
      route,
      team,
      homeRegions,
      service: trafficSplit.choose(route, event.objectKey),
      objectKey: event.objectKey,
      receivedAt: event.receivedAt,
      expiresAt: event.receivedAt + timeoutMs,
      attempts: new Map(),
      tried: new Set(),
      possibleRuns: 0,
      dispatches: 0,
      errorAttemptId: undefined,
      wasRefusedByIdle: false,
      hedgeConsidered: false
    }
  }

  /** Sends a slow request to a second upstream that has a free slot, at most once per request. */
  function hedge (request: PendingRequest, now: number): SteeringCommand | undefined {
    if (request.hedgeConsidered || !IS_IDEMPOTENT[request.route.kind] || request.attempts.size !== 1) return undefined
    if (request.possibleRuns + 1 >= request.route.attempts || request.dispatches >= MAX_DISPATCHES) return undefined
    const [attempt] = request.attempts.values()
    if (now - attempt.startedAt < HEDGE_AFTER_OBJECTIVES * request.route.objectiveMs) return undefined
    request.hedgeConsidered = true
    const choice = chooseUpstream(request, now)
    if (choice === undefined || now + choice.expectedMs > request.expiresAt || choice.load >= choice.upstream.entry.slots) return undefined
    return retryBudget.tryAcquire(request.service, now) ? dispatch(request, choice, now) : undefined
  }

  return {
    onRequestArrived: (event, hasDeployment, now) => {
      if (!hasDeployment) return [createRefusal(event.requestId, undefined, 'no-deployment', DEFAULT_RETRY_AFTER_MS)]
      const route = dependencies.findRoute(event.host, event.path)
      if (route === undefined) return [createRefusal(event.requestId, undefined, 'no-route')]
      const { team, refusal } = dependencies.identify(event.apiKey, route)
      if (refusal !== undefined) return [createRefusal(event.requestId, route, refusal)]
      const quota = team === undefined ? undefined : teamQuota.tryAcquire(team, now)
      if (quota?.admitted === false) return [createRefusal(event.requestId, route, 'over-quota', quota.retryAfterMs, team)]
      const refuse = (reason: Refusal, retryAfterMs: number): Respond => {
        if (team !== undefined) teamQuota.giveBack(team, now)
        return createRefusal(event.requestId, route, reason, retryAfterMs, team)
      }
      const homeRegions = homeRegionsOf(route, team)
      // Only a new deployment can change this, so the caller is asked to wait for the longest time.
      if (homeRegions === undefined) return [refuse('no-upstream', MAX_RETRY_AFTER_MS)]
      const request = createRequest(event, route, team, homeRegions)
      retryBudget.recordRequest(request.service, now)
      const choice = chooseUpstream(request, now)
      if (choice === undefined) return [refuse('no-upstream', retryAfterMsFor(request.service, now))]
      if (stopLimits !== undefined && !canEndBeforeStop(stopLimits, { expectedAt: now + choice.expectedMs, expiresAt: request.expiresAt }, now)) {
        return [refuse('stopping', STOPPING_RETRY_AFTER_MS)]
      }
      const { admitted, retryAfterMs } = admit({
        expectedMs: choice.expectedMs,
        remainingMs: request.expiresAt - now,
        objectiveMs: route.objectiveMs,
        hasTopPriority: dependencies.hasTopPriority(route, team),
        isLikelyCallerRetry: usualDeadline.recordAndCompare(route.name, event.deadlineMs)
      })
      if (!admitted) return [{ ...refuse('overload', retryAfterMs), basis: basisOf(choice) }]
      requests.set(request.id, request)
      return [dispatch(request, choice, now)]
    },
    onAttemptRefused: (event, now) => {
      const ended = endAttempt(event.attemptId)
      if (ended === undefined) return []
      const { upstream, request } = ended
      const commands: SteeringCommand[] = []
      if (upstream !== undefined) {
        if (OWN_ANSWER_CAUSES.has(event.cause)) commands.push(...statements.record(upstream, event, now))
        if (event.cause === 'unreachable') commands.push(...outlierDetection.recordFailure(upstream, 'unreachable', now))
        if (ANSWERED_CAUSES.has(event.cause)) outlierDetection.resetFailureScore(upstream)
        if (event.cause === 'misdirected') {
          upstreams.remove(upstream.id)
          commands.push({ type: 'note', subject: 'upstream-removed', id: upstream.id, detail: 'another upstream has its address' })
        }
      }
      if (request === undefined || request.attempts.size > 0) return commands
      request.wasRefusedByIdle = event.cause === 'shed' && isIdleRefusal(event.load)
      const reason = request.possibleRuns > 0 ? 'outcome-unknown' : REFUSAL_AFTER[event.cause]
      return [...commands, ...(event.cause === 'unsendable' ? finishWithFailure(request, reason, now) : retryOrFail(request, reason, now))]
    },
    onAttemptAnswered: (event, now) => {
      const ended = endAttempt(event.attemptId)
      if (ended === undefined) return []
      const { attempt, upstream, request } = ended
      const notes = upstream === undefined ? [] : statements.record(upstream, event, now)
      const isFailure = event.status >= MIN_ERROR_STATUS || event.cutsOffOthers === true
      if (upstream !== undefined) {
        outlierDetection.resetFailureScore(upstream)
        if (request !== undefined && !isFailure) {
          const workMs = Math.max(1, now - attempt.startedAt - roundTrips.roundTripMs(upstream.entry.zone, upstream.region))
          recordMeasuredSlowdown(upstream, workMs / attempt.expectedWorkMs, now)
          expectedDuration.record(request.route, workMs)
        }
      }
      if (request === undefined) return event.isPartial === true ? [...notes, { type: 'cancel', attemptId: event.attemptId }] : notes
      if (!isFailure || !IS_IDEMPOTENT[request.route.kind]) {
        return [...notes, ...finish(request, { type: 'relay', requestId: request.id, attemptId: event.attemptId, route: request.route.name })]
      }
      return [...notes, ...handleFailedAnswer(request, event, now)]
    },
    onAttemptBroken: (event, now) => {
      const ended = endAttempt(event.attemptId)
      if (ended === undefined) return []
      const { upstream, request } = ended
      const commands: SteeringCommand[] = []
      if (upstream !== undefined) {
        if (event.isLeaving === true) commands.push(...statements.recordLeaving(upstream))
        if (event.cause === 'reset') commands.push(...outlierDetection.recordFailure(upstream, 'broken', now))
        else upstream.noConnectionReuseUntil = now + NO_CONNECTION_REUSE_MS
      }
      if (request === undefined) return commands
      return [...commands, ...handleFailedAttempt(request, event.cause === 'reset' ? 'outcome-unknown' : 'upstream-garbled', now)]
    },
    onRequestCancelled: requestId => {
      const request = requests.get(requestId)
      if (request === undefined) return []
      requests.delete(requestId)
      // A non-idempotent request is left to finish: if it were cancelled, it could have run in part, unknown to its caller.
      if (IS_IDEMPOTENT[request.route.kind]) return cancelAttempts(request)
      abandoned.add(request)
      return []
    },
    onStopBegun: limits => { stopLimits = limits },
    onTick: now => {
      const commands: SteeringCommand[] = []
      for (const request of abandoned) {
        if (now < request.expiresAt) continue
        abandoned.delete(request)
        commands.push(...cancelAttempts(request))
      }
      for (const request of requests.values()) {
        if (now >= request.expiresAt) commands.push(...finishWithFailure(request, 'timeout', now))
        else {
          const command = hedge(request, now)
          if (command !== undefined) commands.push(command)
        }
      }
      return commands
    },
    pendingCount: () => requests.size
  }
}
