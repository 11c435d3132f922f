/**
 * Detects stragglers: upstreams that have become several times slower than their own mean service time. An upstream
 * becomes a suspect when its score says that it is slow, or when an attempt failed there. An attempt that is sent to a
 * suspect is called a probe; it is an ordinary attempt that carries a request, not a separate health check.
 *
 * The detector is a CUSUM test (Page's cumulative sum). The score of an upstream is the log-likelihood ratio of two
 * hypotheses: service times are `SLOWDOWN_FACTOR` times the mean, against service times equal to the mean. Every unit of
 * exposure (one attempt outstanding for one mean service time) raises the score, every completion lowers it, and it is
 * clamped to the range from 0 to `maxScore`. Outstanding attempts count, so a stalled upstream is detected before any
 * of its attempts ends.
 */
import type { LengthClass } from '../configuration.js'

/** Parameters of the detector. `packages/bench/src/selector` simulates the selector with other values. */
export interface StragglerTuning {
  /** Score at or above which an upstream becomes a suspect. */
  readonly suspectScore: number
  /** Score at or below which a completion clears a suspect. */
  readonly clearScore: number
  /** Upper bound of the score. It bounds how many completions it takes to clear a suspect. */
  readonly maxScore: number
  /** Weight of one completion in the exponentially weighted moving mean of an upstream's service time. */
  readonly meanWeight: number
}

export const DEFAULT_STRAGGLER_TUNING: StragglerTuning = { suspectScore: 5, clearScore: 3, maxScore: 9, meanWeight: 1 / 500 }

/** Detector state of one upstream. The selector reads it; only the functions of this module change it. */
export interface StragglerState {
  /** Outstanding attempts by length class, without those that count as lost. */
  readonly active: { [L in LengthClass]: number }
  /** Moving mean of the service time by length class, in milliseconds; undefined before the first completion. */
  readonly meanMs: { [L in LengthClass]: number | undefined }
  score: number
  suspect: boolean
  /** Time at which the upstream last became a suspect; `-Infinity` if it never did. */
  suspectSince: number
  /** Outstanding attempts that started as probes since `suspectSince`, by length class. */
  readonly probes: { [L in LengthClass]: number }
  /**
   * Attempts that started up to this time count as lost, by length class. It is `-Infinity` or an earlier or current
   * value of `suspectSince`. Probes that started in the same millisecond, after the upstream had become a suspect, do
   * not count as lost.
   */
  readonly lostBefore: { [L in LengthClass]: number }
  /** Time up to which exposure is included in `score`. */
  updatedAt: number
}

/** Slowdown that the test is most sensitive to. The stragglers of the expected workloads are about 8 times slower. */
const SLOWDOWN_FACTOR = 8
/** Increase of the score per unit of exposure, and decrease per completion, for exponential service times. */
const SCORE_PER_EXPOSURE = 1 - 1 / SLOWDOWN_FACTOR
const SCORE_PER_COMPLETION = Math.log(SLOWDOWN_FACTOR)
/** Lower bound of a mean. A service that answers within one clock tick would otherwise cause a division by zero. */
const MIN_MEAN_MS = 0.5
/** A sample is clipped to this many times the mean, so that a slow period does not move the mean much. */
const MAX_SAMPLE_TO_MEAN_RATIO = 4
/**
 * When an upstream has been a suspect for this many mean service times, its attempts from before that count as lost
 * and no longer add exposure. Otherwise an upstream that lost them would stay a suspect until their deadlines, although
 * it completes its probes.
 */
const LOST_AFTER_SERVICE_TIMES = 25

/** Creates the state of an upstream without attempts. */
export function createStragglerState (now: number): StragglerState {
  return {
    active: { short: 0, long: 0 },
    meanMs: { short: undefined, long: undefined },
    score: 0,
    suspect: false,
    suspectSince: -Infinity,
    probes: { short: 0, long: 0 },
    lostBefore: { short: -Infinity, long: -Infinity },
    updatedAt: now
  }
}

/** Exposure of one length class during `elapsed` milliseconds. First drops the attempts that count as lost. */
function exposureOf (state: StragglerState, length: LengthClass, serviceMeanMs: number, elapsed: number, now: number): number {
  if (state.active[length] === 0) return 0
  const meanMs = Math.max(MIN_MEAN_MS, state.meanMs[length] ?? serviceMeanMs)
  if (state.suspect && state.lostBefore[length] < state.suspectSince && now - state.suspectSince > LOST_AFTER_SERVICE_TIMES * meanMs) {
    state.lostBefore[length] = state.suspectSince
    state.active[length] = state.probes[length]
  }
  return elapsed / meanMs * state.active[length]
}

/**
 * Adds the exposure since the last update to the score. `serviceMeanMs` holds the means of the whole service, which are
 * used for length classes in which this upstream has completed nothing.
 */
export function updateScore (state: StragglerState, serviceMeanMs: { readonly [L in LengthClass]: number }, tuning: StragglerTuning, now: number): void {
  const elapsed = now - state.updatedAt
  if (elapsed <= 0) return
  state.updatedAt = now
  const exposure = exposureOf(state, 'short', serviceMeanMs.short, elapsed, now) + exposureOf(state, 'long', serviceMeanMs.long, elapsed, now)
  if (exposure === 0) return
  state.score = Math.min(tuning.maxScore, state.score + exposure * SCORE_PER_EXPOSURE)
  if (!state.suspect && state.score >= tuning.suspectScore) markSuspect(state, tuning, now)
}

/** Counts the start of an attempt; call `updateScore` first. Returns `suspectSince` if the attempt is a probe. */
export function recordAttemptStart (state: StragglerState, length: LengthClass): number | undefined {
  state.active[length] += 1
  if (!state.suspect) return undefined
  state.probes[length] += 1
  return state.suspectSince
}

/** Counts the end of an attempt; call `updateScore` first. `probeSuspectSince` is the result of `recordAttemptStart`. */
export function recordAttemptEnd (state: StragglerState, length: LengthClass, startedAt: number, probeSuspectSince: number | undefined): void {
  if (probeSuspectSince === state.suspectSince) state.probes[length] -= 1
  // `updateScore` has already removed lost attempts from `active`.
  const lost = startedAt <= state.lostBefore[length] && probeSuspectSince !== state.lostBefore[length]
  if (!lost) state.active[length] -= 1
}

/**
 * Adds the service time of a completed attempt to the mean and lowers the score, which may clear a suspect. Call
 * `updateScore` first.
 */
export function recordCompletion (state: StragglerState, length: LengthClass, serviceMs: number, serviceMeanMs: number, tuning: StragglerTuning): void {
  const mean = state.meanMs[length] ?? serviceMeanMs
  state.meanMs[length] = Math.max(MIN_MEAN_MS, mean + (Math.min(serviceMs, MAX_SAMPLE_TO_MEAN_RATIO * mean) - mean) * tuning.meanWeight)
  state.score = Math.max(0, state.score - SCORE_PER_COMPLETION)
  if (state.suspect && state.score <= tuning.clearScore) state.suspect = false
}

/** Makes an upstream a suspect, because of its score or because an attempt failed. */
export function markSuspect (state: StragglerState, tuning: StragglerTuning, now: number): void {
  state.score = Math.max(state.score, tuning.suspectScore)
  if (state.suspect) return
  state.suspect = true
  state.suspectSince = now
  state.probes.short = 0
  state.probes.long = 0
}
