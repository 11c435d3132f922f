/**
 * Detects upstreams that have become several times slower, from the pace of their completions.
 *
 * Each upstream has a score that compares two assumptions by their log-likelihood: service times as usual, and
 * service times `SLOWDOWN` times longer. Every unit of exposure (one attempt outstanding for one usual service time)
 * raises the score, every completion lowers it, and it stays between 0 and a cap (the cumulative sum test of Page).
 * The test uses the attempts that are still outstanding, so it needs no slow completion to notice a slow upstream.
 */
import type { LengthClass } from '../configuration.js'

/** Constants of the detector. The defaults were selected with the trial in `packages/bench/src/selector`. */
export interface StragglerTuning {
  /** Score at which an upstream becomes a suspect. */
  readonly suspectScore: number
  /** Score at or below which a suspect is cleared. */
  readonly clearScore: number
  /** Highest score. */
  readonly maxScore: number
  /** Weight of one completion in the moving mean of an upstream's service time. */
  readonly meanWeight: number
}

export const DEFAULT_STRAGGLER_TUNING: StragglerTuning = { suspectScore: 5, clearScore: 3, maxScore: 9, meanWeight: 1 / 500 }

/** State of one upstream. Read by the selector, changed only through the functions below. */
export interface StragglerState {
  /** Outstanding attempts by length, without those that count as lost. */
  readonly active: { [L in LengthClass]: number }
  /** Moving mean of the service time by length, in milliseconds; undefined before the first completion. */
  readonly meanMs: { [L in LengthClass]: number | undefined }
  score: number
  suspect: boolean
  /** Time of the last change to a suspect. */
  suspectSince: number
  /** Outstanding attempts that started since then, by length. */
  readonly probes: { [L in LengthClass]: number }
  /** Start of the suspicion whose earlier attempts count as lost, by length. */
  readonly lostBefore: { [L in LengthClass]: number }
  updatedAt: number
}

/** Factor of the alternative assumption. Stragglers of the workloads are about 8 times slower. */
const SLOWDOWN_FACTOR = 8
const SCORE_PER_EXPOSURE = 1 - 1 / SLOWDOWN_FACTOR
const SCORE_PER_COMPLETION = Math.log(SLOWDOWN_FACTOR)
/** Least mean; services that answer faster than the clock's ticks would divide by zero. */
const MIN_MEAN_MS = 0.5
/** A single sample counts as at most this many times the mean, so that one spell does not change the mean much. */
const MAX_SAMPLE_TO_MEAN_RATIO = 4
/**
 * Attempts from before a suspicion count as lost when it has lasted this many service times. An upstream that lost
 * them would otherwise stay a suspect until their deadlines, although it completes its probes.
 */
const LOST_AFTER_SERVICE_TIMES = 25

/** Creates the state of an upstream that was not used yet. */
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

function exposureOf (state: StragglerState, length: LengthClass, serviceMeanMs: number, elapsed: number, now: number): number {
  if (state.active[length] === 0) return 0
  const meanMs = Math.max(MIN_MEAN_MS, state.meanMs[length] ?? serviceMeanMs)
  if (state.suspect && state.lostBefore[length] < state.suspectSince && now - state.suspectSince > LOST_AFTER_SERVICE_TIMES * meanMs) {
    state.lostBefore[length] = state.suspectSince
    state.active[length] = state.probes[length]
  }
  return elapsed / meanMs * state.active[length]
}

/** Adds the exposure since the last update. `usualMs` are the service times for lengths without a mean. */
export function updateScore (state: StragglerState, serviceMeanMs: { readonly [L in LengthClass]: number }, tuning: StragglerTuning, now: number): void {
  const elapsed = now - state.updatedAt
  if (elapsed <= 0) return
  state.updatedAt = now
  const exposure = exposureOf(state, 'short', serviceMeanMs.short, elapsed, now) + exposureOf(state, 'long', serviceMeanMs.long, elapsed, now)
  if (exposure === 0) return
  state.score = Math.min(tuning.maxScore, state.score + exposure * SCORE_PER_EXPOSURE)
  if (!state.suspect && state.score >= tuning.suspectScore) markSuspect(state, tuning, now)
}

/** Counts a start after `advancePace`. Returns the start of the suspicion if the attempt is a probe. */
export function recordAttemptStart (state: StragglerState, length: LengthClass): number | undefined {
  state.active[length] += 1
  if (!state.suspect) return undefined
  state.probes[length] += 1
  return state.suspectSince
}

/** Counts the end of an attempt after `advancePace`. `probeOf` is what `startPace` returned. */
export function recordAttemptEnd (state: StragglerState, length: LengthClass, startedAt: number, probeOf: number | undefined): void {
  if (probeOf === state.suspectSince) state.probes[length] -= 1
  const lost = startedAt <= state.lostBefore[length] && probeOf !== state.lostBefore[length]
  if (!lost) state.active[length] -= 1
}

/** Counts a completion after `advancePace`. */
export function recordCompletion (state: StragglerState, length: LengthClass, serviceMs: number, serviceMeanMs: number, tuning: StragglerTuning): void {
  const mean = state.meanMs[length] ?? serviceMeanMs
  state.meanMs[length] = Math.max(MIN_MEAN_MS, mean + (Math.min(serviceMs, MAX_SAMPLE_TO_MEAN_RATIO * mean) - mean) * tuning.meanWeight)
  state.score = Math.max(0, state.score - SCORE_PER_COMPLETION)
  if (state.suspect && state.score <= tuning.clearScore) state.suspect = false
}

/** Marks an upstream as a suspect on other evidence, such as a failed attempt. */
export function markSuspect (state: StragglerState, tuning: StragglerTuning, now: number): void {
  state.score = Math.max(state.score, tuning.suspectScore)
  if (state.suspect) return
  state.suspect = true
  state.suspectSince = now
  state.probes.short = 0
  state.probes.long = 0
}
