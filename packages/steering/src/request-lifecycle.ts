/**
 * The life of a request from its arrival to its one final answer: attempts, repeats and expiry.
 *
 * A repeat needs a proof that the earlier attempt did not run, or a route whose requests may run more than once. A
 * status that states that nothing has run is given only while no attempt may have run.
 */
import type { ColdRateLimit } from './cold-rate-limit.js'
import type { Basis, Respond, SteeringCommand } from './command.js'
import type { Route } from './deployment.js'
import type { AttemptAnswered, AttemptBroken, AttemptRefused, RequestArrived } from './event.js'
import type { Candidate, Placement } from './placement.js'
import type { Refusal } from './refusal.js'
import type { Attempt, PendingRequest } from './pending-request.js'
import type { RetryBudget } from './retry-budget.js'
import type { Upstream } from './upstream.js'
import type { UpstreamTable } from './upstream-table.js'
import type { ZoneRoundTrips } from './zone-round-trips.js'
import { admit, DEFAULT_RETRY_AFTER_MS } from './admission.js'
import { IS_IDEMPOTENT } from './deployment.js'
import { createExpectedDuration } from './expected-duration.js'
import { recordMeasuredSlowdown, recordLoadReport } from './load-estimate.js'
import { REFUSAL_STATUS } from './refusal.js'
import { recordAnswer, recordFailure } from './outlier-detection.js'
import { createTrafficSplit } from './traffic-split.js'
import { createUsualDeadline } from './usual-deadline.js'

export interface RequestLifecycle {
  readonly onRequestArrived: (event: RequestArrived, hasDeployment: boolean, now: number) => readonly SteeringCommand[]
  readonly onAttemptRefused: (event: AttemptRefused, now: number) => readonly SteeringCommand[]
  readonly onAttemptAnswered: (event: AttemptAnswered, now: number) => readonly SteeringCommand[]
  readonly onAttemptBroken: (event: AttemptBroken, now: number) => readonly SteeringCommand[]
  readonly onRequestCancelled: (requestId: string, now: number) => readonly SteeringCommand[]
  readonly onTick: (now: number) => readonly SteeringCommand[]
  readonly pendingCount: () => number
}

export interface RequestLifecycleDependencies {
  readonly upstreams: UpstreamTable
  readonly placement: Placement
  readonly coldRateLimit: ColdRateLimit
  readonly retryBudget: RetryBudget
  readonly roundTrips: ZoneRoundTrips
  readonly findRoute: (host: string, path: string) => Route | undefined
  /** Whether no route of the same services is more urgent. */
  readonly isUrgent: (route: Route) => boolean
}

/** Attempts of one request, refused ones included. */
const MAX_DISPATCHES = 4
/** An attempt with less time than this can't be answered, in milliseconds. */
const MIN_ATTEMPT_MS = 20
/** Silence, as a multiple of the route's objective, after which a repeatable request is also sent elsewhere. */
const HEDGE_AFTER_OBJECTIVES = 1.5
/** Time in which an upstream whose answers came out of order gets each request on a connection of its own, in milliseconds. */
const NO_CONNECTION_REUSE_MS = 5_000
/** Time for the answer's way to the caller, in milliseconds; one that arrives after the deadline is lost. */
const ANSWER_RESERVE_MS = 30
/** First status of the failures of an upstream. */
const MIN_ERROR_STATUS = 500

function basisOf ({ upstream, rank, load, loadAgeMs, slowdown: pace, expectedMs }: Candidate): Basis {
  return { upstreamId: upstream.id, rank, load, loadAgeMs, pace, expectedMs }
}

export function createRequestLifecycle (parts: RequestLifecycleDependencies): RequestLifecycle {
  const { upstreams, placement, coldRateLimit: cold, retryBudget: retries, roundTrips: distance } = parts
  const requests = new Map<string, PendingRequest>()
  const attempts = new Map<string, Attempt>()
  const expectedDuration = createExpectedDuration()
  const trafficSplit = createTrafficSplit()
  const usualDeadline = createUsualDeadline()
  let lastAttemptNumber = 0

  function createRefusal (requestId: string, route: Route | undefined, reason: Refusal, retryAfterMs?: number): Respond {
    return { type: 'respond', requestId, route: route?.name, status: REFUSAL_STATUS[reason], reason, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) }
  }

  /** Removes an attempt from the tables; `undefined` if it has ended before. */
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
    return [...request.attempts.keys()].map(attemptId => {
      endAttempt(attemptId)
      return { type: 'cancel', attemptId }
    })
  }

  function finish (request: PendingRequest, answer: SteeringCommand): readonly SteeringCommand[] {
    requests.delete(request.id)
    return [answer, ...cancelAttempts(request)]
  }

  function finishWithFailure (request: PendingRequest, reason: Refusal, retryAfterMs?: number): readonly SteeringCommand[] {
    if (request.errorAttemptId !== undefined) {
      return finish(request, { type: 'relay', requestId: request.id, attemptId: request.errorAttemptId, route: request.route.name })
    }
    return finish(request, createRefusal(request.id, request.route, reason, retryAfterMs))
  }

  function dispatch (request: PendingRequest, choice: Candidate, now: number): SteeringCommand {
    const { upstream } = choice
    lastAttemptNumber += 1
    const attempt: Attempt = {
      id: String(lastAttemptNumber), requestId: request.id, upstreamId: upstream.id, startedAt: now, expectedMs: expectedDuration.estimateMs(request.route)
    }
    attempts.set(attempt.id, attempt)
    request.attempts.set(attempt.id, attempt)
    request.tried.add(upstream.id)
    request.dispatches += 1
    upstream.outstanding += 1
    cold.recordAttempt(upstream, now)
    return {
      type: 'dispatch',
      requestId: request.id,
      attemptId: attempt.id,
      upstreamId: upstream.id,
      zone: upstream.entry.zone,
      address: upstream.entry.address,
      timeoutMs: request.expiresAt - now,
      singleUse: now < upstream.noConnectionReuseUntil && !IS_IDEMPOTENT[request.route.kind],
      basis: basisOf(choice)
    }
  }

  function chooseUpstream (request: PendingRequest, now: number): Candidate | undefined {
    const { service, objectKey, route, tried } = request
    return placement.choose({ service, objectKey, regions: route.homeRegions, tried, expectedMs: expectedDuration.estimateMs(route) }, now)
  }

  /** Sends a request that has no open attempt once more, or gives it its final answer. */
  function retryOrFail (request: PendingRequest, reason: Refusal, now: number): readonly SteeringCommand[] {
    const retryAfterMs = request.possibleRuns === 0 ? DEFAULT_RETRY_AFTER_MS : undefined
    const remainingMs = request.expiresAt - now
    if (request.dispatches >= MAX_DISPATCHES || request.possibleRuns >= request.route.attempts || remainingMs < MIN_ATTEMPT_MS) {
      return finishWithFailure(request, reason, retryAfterMs)
    }
    const choice = chooseUpstream(request, now)
    if (choice === undefined || !retries.tryTake(request.service, now)) return finishWithFailure(request, reason, retryAfterMs)
    return [dispatch(request, choice, now)]
  }

  /** Takes the failure of an attempt that may have run. */
  function handleFailedAttempt (request: PendingRequest, reason: Refusal, now: number): readonly SteeringCommand[] {
    request.possibleRuns += 1
    if (request.attempts.size > 0) return []
    if (!IS_IDEMPOTENT[request.route.kind]) return finishWithFailure(request, reason)
    return retryOrFail(request, reason, now)
  }

  function createRequest (event: RequestArrived, route: Route): PendingRequest {
    const timeoutMs = Math.min(route.timeoutMs, (event.deadlineMs ?? Infinity) - ANSWER_RESERVE_MS)
    return {
      id: event.requestId,
      route,
      service: trafficSplit.choose(route, event.objectKey),
      objectKey: event.objectKey,
      receivedAt: event.receivedAt,
      expiresAt: event.receivedAt + timeoutMs,
      attempts: new Map(),
      tried: new Set(),
      possibleRuns: 0,
      dispatches: 0,
      errorAttemptId: undefined,
      hedged: false
    }
  }

  function hedge (request: PendingRequest, now: number): SteeringCommand | undefined {
    if (request.hedged || !IS_IDEMPOTENT[request.route.kind] || request.attempts.size !== 1) return undefined
    if (request.possibleRuns + 1 >= request.route.attempts || request.dispatches >= MAX_DISPATCHES) return undefined
    const [attempt] = request.attempts.values()
    if (now - attempt.startedAt < HEDGE_AFTER_OBJECTIVES * request.route.objectiveMs) return undefined
    request.hedged = true
    const choice = chooseUpstream(request, now)
    if (choice === undefined || now + choice.expectedMs > request.expiresAt || choice.load >= choice.upstream.entry.slots) return undefined
    return retries.tryTake(request.service, now) ? dispatch(request, choice, now) : undefined
  }

  return {
    onRequestArrived: (event, hasDeployment, now) => {
      if (!hasDeployment) return [createRefusal(event.requestId, undefined, 'no-deployment', DEFAULT_RETRY_AFTER_MS)]
      const route = parts.findRoute(event.host, event.path)
      if (route === undefined) return [createRefusal(event.requestId, undefined, 'no-route')]
      const request = createRequest(event, route)
      retries.recordRequest(request.service, now)
      const choice = chooseUpstream(request, now)
      if (choice === undefined) return [createRefusal(event.requestId, route, 'no-upstream', DEFAULT_RETRY_AFTER_MS)]
      const { admitted, retryAfterMs } = admit({
        expectedMs: choice.expectedMs,
        remainingMs: request.expiresAt - now,
        objectiveMs: route.objectiveMs,
        hasTopPriority: parts.isUrgent(route),
        isCallerRetry: usualDeadline.isShorterThanUsual(route.name, event.deadlineMs)
      })
      if (!admitted) return [{ ...createRefusal(event.requestId, route, 'overload', retryAfterMs), basis: basisOf(choice) }]
      requests.set(request.id, request)
      return [dispatch(request, choice, now)]
    },
    onAttemptRefused: (event, now) => {
      const endedAttempt = endAttempt(event.attemptId)
      if (endedAttempt === undefined) return []
      const { upstream, request } = endedAttempt
      const commands: SteeringCommand[] = []
      if (upstream !== undefined) {
        if (event.load !== undefined) recordLoadReport(upstream, event.load, now)
        if (event.cause === 'unreachable') commands.push(...recordFailure(upstream, 'unreachable', now))
        else recordAnswer(upstream)
        if (event.cause === 'misdirected') {
          upstreams.remove(upstream.id)
          commands.push({ type: 'note', subject: 'upstream-removed', id: upstream.id, detail: 'another upstream has its address' })
        }
      }
      if (request === undefined || request.attempts.size > 0) return commands
      return [...commands, ...retryOrFail(request, request.possibleRuns > 0 ? 'outcome-unknown' : event.cause === 'shed' ? 'shed' : 'no-upstream', now)]
    },
    onAttemptAnswered: (event, now) => {
      const ended = endAttempt(event.attemptId)
      if (ended === undefined) return []
      const { attempt, upstream, request } = ended
      const isFailure = event.status >= MIN_ERROR_STATUS
      if (upstream !== undefined) {
        if (event.load !== undefined) recordLoadReport(upstream, event.load, now)
        recordAnswer(upstream)
        if (request !== undefined && !isFailure) {
          const workMs = Math.max(1, now - attempt.startedAt - distance.roundTripMs(upstream.entry.zone, upstream.region))
          recordMeasuredSlowdown(upstream, workMs / attempt.expectedMs, now)
          expectedDuration.record(request.route, workMs)
        }
      }
      if (request === undefined) return []
      if (!isFailure || !IS_IDEMPOTENT[request.route.kind]) {
        return finish(request, { type: 'relay', requestId: request.id, attemptId: event.attemptId, route: request.route.name })
      }
      request.errorAttemptId = event.attemptId
      return handleFailedAttempt(request, 'outcome-unknown', now)
    },
    onAttemptBroken: (event, now) => {
      const ended = endAttempt(event.attemptId)
      if (ended === undefined) return []
      const { upstream, request } = ended
      const commands: SteeringCommand[] = []
      if (upstream !== undefined) {
        if (event.cause === 'reset') commands.push(...recordFailure(upstream, 'broken', now))
        else upstream.noConnectionReuseUntil = now + NO_CONNECTION_REUSE_MS
      }
      if (request === undefined) return commands
      return [...commands, ...handleFailedAttempt(request, event.cause === 'reset' ? 'outcome-unknown' : 'upstream-garbled', now)]
    },
    onRequestCancelled: requestId => {
      const request = requests.get(requestId)
      if (request === undefined) return []
      requests.delete(requestId)
      // A request that must not run twice is left to end, because its caller can't learn how far it came.
      return IS_IDEMPOTENT[request.route.kind] ? cancelAttempts(request) : []
    },
    onTick: now => {
      const commands: SteeringCommand[] = []
      for (const request of requests.values()) {
        if (now >= request.expiresAt) commands.push(...finishWithFailure(request, 'timeout'))
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
