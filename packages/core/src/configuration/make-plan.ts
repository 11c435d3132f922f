/**
 * Computes the effects of a change before it is applied: the traffic that would move and the reasons that block it. A
 * plan is a pure function of the configuration and the operations, so no instance has to store it: any instance can
 * recompute the plan that an operator confirms.
 */
import type { Result } from 'neverthrow'
import type { Configuration, Operation } from '../configuration.js'
import type { TrafficMove, Plan, QueryError } from '../create-engine.js'
import { createHash } from 'node:crypto'
import { err, ok } from 'neverthrow'
import { applyOperations } from './apply-operations.js'
import { canonicalJson } from './canonical-json.js'
import { formatProblem } from './problem.js'
import { undrainedZones, shiftCapOf, shiftedShare, trafficShares } from './traffic.js'

/** Limits the size of a change, because the configuration object stores 64 changes in at most one megabyte. */
export const MAX_OPERATIONS_PER_CHANGE = 100
/** Shares are rounded to 1/1,000,000, so that floating-point errors from the order of additions don't change the hash. */
const SHARE_STEPS = 1e6
const PERCENT = 100

interface PlanEffect {
  readonly moves: readonly TrafficMove[]
  readonly blockers: readonly string[]
}

/**
 * Returns the plan for a change. Invalid operations are reported as blockers. Errors: `request-malformed` without
 * operations or with more than `MAX_OPERATIONS_PER_CHANGE`.
 */
export function makePlan (configuration: Configuration, operations: readonly Operation[]): Result<Plan, QueryError> {
  if (operations.length === 0 || operations.length > MAX_OPERATIONS_PER_CHANGE) return err({ reason: 'request-malformed' })
  const effect: PlanEffect = applyOperations(configuration, operations).match(
    after => effectOf(configuration, after),
    problems => ({ moves: [], blockers: problems.map(formatProblem) })
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

/** Blocks a change that leaves a service without a zone that accepts its requests. */
function checkServiceHosted (before: Configuration, after: Configuration, service: string): PlanEffect {
  const isClosed = undrainedZones(after, service).length === 0 &&
    (undrainedZones(before, service).length > 0 || after.places.some(place => place.service === service))
  return { moves: [], blockers: isClosed ? [`services ${service}: no place would be left that takes new work`] : [] }
}

/**
 * Returns the moves of the traffic of one origin zone. Blocks a change if the share outside the rule's scope exceeds the
 * shift cap and the change raises the share or lowers the cap. There are no moves if no zone served the origin before.
 */
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
