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
  readonly suspectAt: number
  /** Score at or below which a suspect is cleared. */
  readonly clearAt: number
  /** Highest score. */
  readonly cap: number
  /** Weight of one completion in the moving mean of an upstream's service time. */
  readonly meanWeight: number
}

export const STRAGGLER_TUNING: StragglerTuning = { suspectAt: 5, clearAt: 3, cap: 9, meanWeight: 1 / 500 }

/** State of one upstream. Read by the selector, changed only through the functions below. */
export interface Pace {
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
const SLOWDOWN = 8
const EXPOSURE_GAIN = 1 - 1 / SLOWDOWN
const COMPLETION_LOSS = Math.log(SLOWDOWN)
/** Least mean; services that answer faster than the clock's ticks would divide by zero. */
const LEAST_MEAN_MS = 0.5
/** A single sample counts as at most this many times the mean, so that one spell does not change the mean much. */
const CLIP = 4
/**
 * Attempts from before a suspicion count as lost when it has lasted this many service times. An upstream that lost
 * them would otherwise stay a suspect until their deadlines, although it completes its probes.
 */
const LOST_SERVICE_TIMES = 25

/** Creates the state of an upstream that was not used yet. */
export function createPace (now: number): Pace {
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

function exposureOf (pace: Pace, length: LengthClass, usualMs: number, elapsed: number, now: number): number {
  if (pace.active[length] === 0) return 0
  const meanMs = Math.max(LEAST_MEAN_MS, pace.meanMs[length] ?? usualMs)
  if (pace.suspect && pace.lostBefore[length] < pace.suspectSince && now - pace.suspectSince > LOST_SERVICE_TIMES * meanMs) {
    pace.lostBefore[length] = pace.suspectSince
    pace.active[length] = pace.probes[length]
  }
  return elapsed / meanMs * pace.active[length]
}

/** Adds the exposure since the last update. `usualMs` are the service times for lengths without a mean. */
export function advancePace (pace: Pace, usualMs: { readonly [L in LengthClass]: number }, tuning: StragglerTuning, now: number): void {
  const elapsed = now - pace.updatedAt
  if (elapsed <= 0) return
  pace.updatedAt = now
  const exposure = exposureOf(pace, 'short', usualMs.short, elapsed, now) + exposureOf(pace, 'long', usualMs.long, elapsed, now)
  if (exposure === 0) return
  pace.score = Math.min(tuning.cap, pace.score + exposure * EXPOSURE_GAIN)
  if (!pace.suspect && pace.score >= tuning.suspectAt) suspectPace(pace, tuning, now)
}

/** Counts a start after `advancePace`. Returns the start of the suspicion if the attempt is a probe. */
export function startPace (pace: Pace, length: LengthClass): number | undefined {
  pace.active[length] += 1
  if (!pace.suspect) return undefined
  pace.probes[length] += 1
  return pace.suspectSince
}

/** Counts the end of an attempt after `advancePace`. `probeOf` is what `startPace` returned. */
export function endPace (pace: Pace, length: LengthClass, startedAt: number, probeOf: number | undefined): void {
  if (probeOf === pace.suspectSince) pace.probes[length] -= 1
  const lost = startedAt <= pace.lostBefore[length] && probeOf !== pace.lostBefore[length]
  if (!lost) pace.active[length] -= 1
}

/** Counts a completion after `advancePace`. */
export function completePace (pace: Pace, length: LengthClass, serviceMs: number, usualMs: number, tuning: StragglerTuning): void {
  const mean = pace.meanMs[length] ?? usualMs
  pace.meanMs[length] = Math.max(LEAST_MEAN_MS, mean + (Math.min(serviceMs, CLIP * mean) - mean) * tuning.meanWeight)
  pace.score = Math.max(0, pace.score - COMPLETION_LOSS)
  if (pace.suspect && pace.score <= tuning.clearAt) pace.suspect = false
}

/** Marks an upstream as a suspect on other evidence, such as a failed attempt. */
export function suspectPace (pace: Pace, tuning: StragglerTuning, now: number): void {
  pace.score = Math.max(pace.score, tuning.suspectAt)
  if (pace.suspect) return
  pace.suspect = true
  pace.suspectSince = now
  pace.probes.short = 0
  pace.probes.long = 0
}
