/**
 * Divides an instance's time between accepting connections and handling the requests that were read.
 *
 * The runtime accepts one connection in each iteration of its loop, so handling delays accepting. A caller that waits to be
 * accepted is seen by nobody and leaves after a second; one whose request was read can be refused at once and served
 * elsewhere. The longer connections wait, the fewer requests are handled between two of them, and what can't be handled
 * in time is refused. The listen backlog is so short that callers whom the instance can't even refuse turn to another one.
 *
 * Load pattern: a burst of new connections at several times the rate that the instance's processor can serve, most of them
 * from callers that give up and come back.
 */

export interface IntakePlan {
  /** Requests to handle in this iteration. */
  readonly maxRequests: number
  /** Time for them, in milliseconds. */
  readonly maxMs: number
  /** Handle the newest requests first: their callers wait longest from now on, and the oldest ones are refused anyway. */
  readonly newestFirst: boolean
  /** Credit for requests that this iteration leaves to the next one. */
  readonly credit: number
}

export interface IntakeQuery {
  /** Longest time that an established connection can have waited to be accepted, in milliseconds. */
  readonly acceptWaitMs: number
  /** Time since the oldest request in the queue was read, in milliseconds. */
  readonly oldestWaitMs: number
  /** What the iteration before has left: see `IntakePlan`. */
  readonly credit: number
}

/** Maximum time for which requests are handled in one iteration, in milliseconds. */
const MAX_ITERATION_MS = 5
/** Wait to be accepted, in milliseconds, from which on fewer requests are handled than connections are accepted. */
const SHORT_ACCEPT_WAIT_MS = 10
/**
 * While connections wait, an iteration that accepts one adds `ADDED_CREDIT`, and a handled request uses `REQUEST_CREDIT`.
 * Two requests for three connections leave time for refusals, at little cost to those that are served.
 */
const ADDED_CREDIT = 2
const REQUEST_CREDIT = 3
/** Wait of the oldest request from which on the newest are handled first, in milliseconds. */
const NEWEST_FIRST_AFTER_MS = 40
/** Wait after which a request that is still in the queue is refused, in milliseconds. */
const MAX_INTAKE_WAIT_MS = 70
/** Lower limit on that wait, in milliseconds: time for a few iterations, in which a request can still be handled. */
const MIN_INTAKE_WAIT_MS = 10
/** Time from the connection to the refusal, in milliseconds, within which the wait in the queue is kept. */
const MAX_REFUSAL_MS = 90

/** Connections that may wait to be accepted, for each core: as many as it accepts in the time to a refusal. */
const BACKLOG_PER_CORE = 75
const MIN_BACKLOG = 16

/**
 * Length of the listen backlog of an instance with a number of cores or a part of one. A connection beyond it is not
 * established, so its caller turns to another instance.
 */
export function backlogFor (cores: number): number {
  return Math.max(MIN_BACKLOG, Math.floor(BACKLOG_PER_CORE * cores))
}

/** Wait after which a request that is still in the queue is refused, if its connection had waited to be accepted, in milliseconds. */
export function maxIntakeWaitMs (acceptWaitMs: number): number {
  return Math.max(MIN_INTAKE_WAIT_MS, Math.min(MAX_INTAKE_WAIT_MS, MAX_REFUSAL_MS - acceptWaitMs))
}

export function planIntake ({ acceptWaitMs, oldestWaitMs, credit }: IntakeQuery): IntakePlan {
  const sum = credit + ADDED_CREDIT
  return {
    maxRequests: acceptWaitMs < SHORT_ACCEPT_WAIT_MS ? Infinity : Math.floor(sum / REQUEST_CREDIT),
    maxMs: MAX_ITERATION_MS,
    newestFirst: oldestWaitMs > Math.min(NEWEST_FIRST_AFTER_MS, maxIntakeWaitMs(acceptWaitMs) / 2),
    credit: sum % REQUEST_CREDIT
  }
}
