/**
 * What a change would do. A plan is a pure function of the configuration and the operations, so any instance can
 * recompute the plan that an operator confirms, and no instance stores it.
 */
import type { Result } from 'neverthrow'
import type { Configuration, Operation } from '../configuration.js'
import type { TrafficMove, Plan, QueryError } from '../create-engine.js'
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import { applyOperations } from './apply-operations.js'
import { canonicalJson } from './canonical-json.js'
import { problemText } from './problem.js'
import { openZones, shiftCapOf, shiftedShare, trafficShares } from './traffic.js'

/** Operations of one change. The object holds 64 changes and has at most one megabyte. */
export const MAX_OPERATIONS = 100
/** Shares are rounded, so that the order of additions does not reach the plan's hash. */
const SHARE_STEPS = 1e6
const PERCENT = 100

interface PlanEffect {
  readonly moves: readonly TrafficMove[]
  readonly blockers: readonly string[]
}

/**
 * Returns the plan of a change. Operations that do not apply appear as blockers. Errors: `request-malformed` without
 * operations or with more than `MAX_OPERATIONS`.
 */
export function makePlan (configuration: Configuration, operations: readonly Operation[]): Result<Plan, QueryError> {
  if (operations.length === 0 || operations.length > MAX_OPERATIONS) return err({ reason: 'request-malformed' })
  const effect: PlanEffect = applyOperations(configuration, operations).match(
    after => effectOf(configuration, after),
    problems => ({ moves: [], blockers: problems.map(problemText) })
  )
  const content = { baseVersion: configuration.version, operations, ...effect }
  const planId = createHash('sha256').update(canonicalJson(content)).digest('hex')
  return ok({ planId, ...content })
}

function effectOf (before: Configuration, after: Configuration): PlanEffect {
  const services = after.services.map(service => service.id).sort()
  const origins = after.zones.map(zone => zone.id).sort()
  const effects = services.flatMap(service => [
    checkServiceHosted(before, after, service),
    ...origins.map(origin => effectOnOrigin(before, after, service, origin))
  ])
  return { moves: effects.flatMap(effect => effect.moves), blockers: effects.flatMap(effect => effect.blockers) }
}

function checkServiceHosted (before: Configuration, after: Configuration, service: string): PlanEffect {
  const isClosed = openZones(after, service).length === 0 &&
    (openZones(before, service).length > 0 || after.places.some(place => place.service === service))
  return { moves: [], blockers: isClosed ? [`services ${service}: no place would be left that takes new work`] : [] }
}

/** Traffic that a zone newly serves for an origin is a move, unless no place served the origin before. */
function effectOnOrigin (before: Configuration, after: Configuration, service: string, origin: string): PlanEffect {
  const cap = shiftCapOf(after, service)
  const sharesBefore = trafficShares(before, service, origin)
  const shares = trafficShares(after, service, origin)
  const moves = [...shares]
    .map(([zone, share]) => ({ zone, share: round(share - (sharesBefore.get(zone) ?? 0)) }))
    .filter(({ zone, share }) => share > 0 && sharesBefore.size > 0)
    .sort((a, b) => (a.zone < b.zone ? -1 : 1))
    .map(({ zone, share }) => ({ service, fromZone: origin, toZone: zone, share, cap }))
  const shiftedBefore = round(shiftedShare(before, service, origin, sharesBefore))
  const shifted = round(shiftedShare(after, service, origin, shares))
  const capBefore = shiftCapOf(before, service)
  const isOverCap = shifted > cap && (shifted > shiftedBefore || cap < capBefore)
  const blocker = `rules ${service}: ${percent(shifted)} of the traffic of zone ${origin} would shift, the cap is ${percent(cap)}`
  return { moves, blockers: isOverCap ? [blocker] : [] }
}

function round (share: number): number {
  return Math.round(share * SHARE_STEPS) / SHARE_STEPS
}

function percent (share: number): string {
  return `${round(share * PERCENT)}%`
}
