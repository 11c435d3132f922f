/**
 * Handles the arrival of a request: matches it to a route, claims its idempotency key, validates it and places it.
 *
 * The key is claimed before any validation. Otherwise a repeated request that the configuration no longer permits
 * would be answered `not-run`, although the first request with the key ran.
 */
import type { Route, Service } from '../configuration.js'
import type { RequestArrived } from '../event.js'
import type { Claim } from '../idempotency/key-store.js'
import type { Reason } from '../reason.js'
import type { Request } from '../tables.js'
import type { RequestProgress } from './request-progress.js'
import type { RoutingContext, Step } from './routing-context.js'
import { isGracePeriodOver } from '../shutdown/shutdown-system.js'
import { createRespond } from './create-respond.js'
import { completeRequest, completeWithError } from './completion.js'
import { forward, placeRequest } from './placement.js'
import { createRequestProgress } from './request-progress.js'
import { setRequestState } from './routing-context.js'

/** Deadline of a request that states none and whose service is unknown. */
const UNKNOWN_SERVICE_DEADLINE_MS = 10_000

/** Returns the first route of the service that matches the method and the path. */
export function matchRoute (service: Service, method: string, path: string): Route | undefined {
  return service.routes.find(route =>
    (route.method === '*' || route.method === method) && path.startsWith(route.prefix))
}

/** An arrived request with its configuration rows and the result of claiming its key. */
interface Arrival {
  readonly event: RequestArrived
  readonly service: Service | undefined
  readonly route: Route | undefined
  readonly claim: Claim | undefined
}

function createRequest (context: RoutingContext, arrival: Arrival, now: number): Request {
  const { event, service, route, claim } = arrival
  const { forwarded } = event
  const origin = forwarded === undefined
    ? context.dependencies.resolveOrigin(event.client)
    : { zone: forwarded.keyHome ? context.world.self.zone : forwarded.originZone, tenant: forwarded.tenant }
  const timeoutMs = event.timeoutMs ?? service?.deadlineMs ?? UNKNOWN_SERVICE_DEADLINE_MS
  return {
    id: event.requestId,
    service: event.service,
    kind: route?.kind ?? (claim === undefined ? 'plain' : 'protected'),
    length: route?.length ?? 'short',
    tenant: origin.tenant,
    originZone: origin.zone,
    arrivedAt: now,
    deadlineAt: now + timeoutMs,
    state: 'running',
    contentLength: event.contentLength ?? 0,
    refusals: 0,
    // Set even when undefined: access is faster when all rows have the same properties.
    key: event.key,
    forwardedBy: forwarded?.instanceId
  }
}

/** Whether the key's home forwarded the request to be run here. The home then records the key's outcome itself. */
function isForwardedByKeyHome ({ event, claim }: Arrival): boolean {
  return claim?.type === 'forward' && event.forwarded?.keyHome === false &&
    event.forwarded.instanceId === claim.instanceId
}

function registerRequest (
  context: RoutingContext, arrival: Arrival, now: number
): { request: Request, progress: RequestProgress } {
  const { event, claim } = arrival
  const request = createRequest(context, arrival, now)
  const runsAtKeyHome = claim?.type === 'forward' && !isForwardedByKeyHome(arrival)
  const progress = createRequestProgress({
    holdsKey: claim?.type === 'run',
    keyHome: runsAtKeyHome ? claim.instanceId : undefined,
    localOnly: event.forwarded !== undefined && !event.forwarded.keyHome,
    singleUseBody: event.singleUseBody === true
  })
  context.world.requests.set(request.id, request)
  context.progress.set(request.id, progress)
  context.deadlines.add(request.deadlineAt, request.id)
  return { request, progress }
}

function refusalReason (context: RoutingContext, arrival: Arrival, now: number): Reason | undefined {
  const { event, service, route } = arrival
  if (context.world.configuration === undefined) return 'no-configuration'
  if (service === undefined) return 'unknown-service'
  if (route === undefined) return 'unknown-route'
  if (route.kind === 'protected' && event.key === undefined) return 'key-required'
  if ((event.contentLength ?? 0) > service.maxBodyBytes) return 'request-too-large'
  if (isGracePeriodOver(context.world, now)) return 'instance-stopping'
  return undefined
}

function validateAndPlace (
  context: RoutingContext, arrival: Arrival, request: Request, progress: RequestProgress, step: Step
): void {
  const reason = refusalReason(context, arrival, step.now)
  if (reason !== undefined) return completeWithError(context, request, reason, step)
  context.dependencies.retryBudget.recordRequest(request.service, step.now)
  if (!progress.localOnly) context.dependencies.shiftLimiter.recordRequest(request.service, request.originZone, step.now)
  placeRequest(context, request, progress, step)
}

function forwardToKeyHome (
  context: RoutingContext, arrival: Arrival, request: Request, progress: RequestProgress, step: Step
): void {
  const home = context.world.instances.get(progress.keyHome ?? '')
  // A request that was forwarded here as to its key's home is not forwarded again: two instances that disagree on the
  // home would send it back and forth.
  const unreachable = home === undefined || arrival.event.forwarded?.keyHome === true
  if (unreachable) return completeWithError(context, request, 'key-home-unreachable', step)
  if (step.now >= request.deadlineAt) return completeWithError(context, request, 'deadline-passed', step)
  forward(context, request, progress, home, step)
}

/** Handles a new request. */
export function handleRequestArrived (context: RoutingContext, event: RequestArrived, step: Step): void {
  const service = context.configurationIndex.service(event.service)
  const route = service === undefined ? undefined : matchRoute(service, event.method, event.path)
  const usesKey = event.key !== undefined && (route === undefined || route.kind === 'protected')
  const claim = usesKey ? context.dependencies.keyStore.claim(event.key, event.requestId, step.now) : undefined
  const arrival = { event, service, route, claim }
  const { request, progress } = registerRequest(context, arrival, step.now)
  if (claim === undefined || claim.type === 'run' || isForwardedByKeyHome(arrival)) {
    return validateAndPlace(context, arrival, request, progress, step)
  }
  if (claim.type === 'forward') return forwardToKeyHome(context, arrival, request, progress, step)
  if (claim.type === 'wait') {
    setRequestState(context, request, 'waiting-for-key')
    return
  }
  if (claim.type === 'replay') {
    const answer = { type: 'replay', requestId: request.id, answer: claim.answer } as const
    return completeRequest(context, request, { outcome: 'served', reason: 'replayed', answer }, step)
  }
  const { outcome, reason } = claim
  completeRequest(context, request, { outcome, reason, answer: createRespond(request.id, outcome, reason) }, step)
}
