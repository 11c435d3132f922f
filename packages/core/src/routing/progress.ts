/**
 * What routing remembers of a request beside its row: it changes on each attempt event, so it is not part of the
 * read-only row.
 */
import type { Decision } from '../create-engine.js'

/** One attempt that ended. */
export type EndedAttempt = Decision['attempts'][number]

/** The attempts of one request. */
export interface Progress {
  /** Ids of the attempts that have not ended. */
  open: readonly string[]
  /** Targets that refused or failed this request and are not selected again. */
  tried: ReadonlySet<string>
  readonly ended: EndedAttempt[]
  dispatches: number
  forwards: number
  /** An attempt was written and did not end as refused, so an upstream may have run the request. */
  possiblyRun: boolean
  /** The attempt whose answer is passed to the caller. */
  answeredBy: string | undefined
  /** The caller closed its exchange; the request only continues to record the outcome of its key. */
  callerGone: boolean
  /** The key store gave the key to this request, which therefore settles it. */
  readonly holdsKey: boolean
  /** The instance that issued the key, when it is another one. */
  readonly keyHome: string | undefined
  /** The key's home answered that the key was not run. */
  refusedByHome: boolean
  /** The request came from a peer that wants it run here, now. */
  readonly onlyHere: boolean
  /** The body is streamed from the caller, so no attempt may follow one that was written. */
  readonly singleUseBody: boolean
  /** The request was counted as moved out of its origin zone. */
  moved: boolean
}

/** Whether each request has an attempt that may have been run, given the states of its open attempts. */
export function mayHaveRun (progress: Progress, openWritten: boolean): boolean {
  return progress.possiblyRun || openWritten || (progress.keyHome !== undefined && !progress.refusedByHome)
}

const NONE: ReadonlySet<string> = new Set()

/** Creates the progress of a request without attempts. */
export function createProgress (
  options: Pick<Progress, 'holdsKey' | 'keyHome' | 'onlyHere' | 'singleUseBody'>
): Progress {
  // Written out: spreading `options` took a third of the time of a request.
  return {
    open: [],
    tried: NONE,
    ended: [],
    dispatches: 0,
    forwards: 0,
    possiblyRun: false,
    answeredBy: undefined,
    callerGone: false,
    holdsKey: options.holdsKey,
    keyHome: options.keyHome,
    refusedByHome: false,
    onlyHere: options.onlyHere,
    singleUseBody: options.singleUseBody,
    moved: false
  }
}

/** Excludes a target from later attempts. */
export function exclude (progress: Progress, targetId: string): void {
  progress.tried = new Set(progress.tried).add(targetId)
}

/** Makes all targets selectable again. */
export function forgetTried (progress: Progress): void {
  progress.tried = NONE
}
