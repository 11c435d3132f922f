/**
 * What routing remembers of a request beside its row: it changes on each attempt event, so it is not part of the
 * read-only row.
 */
import type { Decision } from '../create-engine.js'

/** One attempt that ended. */
export type EndedAttempt = Decision['attempts'][number]

/** The attempts of one request. */
export interface RequestProgress {
  /** Ids of the attempts that have not ended. */
  openAttemptIds: readonly string[]
  /** Targets that refused or failed this request and are not selected again. */
  excludedTargetIds: ReadonlySet<string>
  readonly endedAttempts: EndedAttempt[]
  dispatches: number
  forwards: number
  /** An attempt was written and did not end as refused, so an upstream may have run the request. */
  possiblyRun: boolean
  /** The attempt whose answer is passed to the caller. */
  relayedAttemptId: string | undefined
  /** The caller closed its exchange; the request only continues to record the outcome of its key. */
  callerDisconnected: boolean
  /** The key store gave the key to this request, which therefore settles it. */
  readonly holdsKey: boolean
  /** The instance that issued the key, when it is another one. */
  readonly keyHome: string | undefined
  /** The key's home answered that the key was not run. */
  refusedByKeyHome: boolean
  /** The request came from a peer that wants it run here, now. */
  readonly localOnly: boolean
  /** The body is streamed from the caller, so no attempt may follow one that was written. */
  readonly singleUseBody: boolean
  /** The request was counted as moved out of its origin zone. */
  countedAsMoved: boolean
}

/** Whether each request has an attempt that may have been run, given the states of its open attempts. */
export function mayHaveRun (progress: RequestProgress, openMayHaveRun: boolean): boolean {
  return progress.possiblyRun || openMayHaveRun || (progress.keyHome !== undefined && !progress.refusedByKeyHome)
}

const NO_TARGETS: ReadonlySet<string> = new Set()

/** Creates the progress of a request without attempts. */
export function createRequestProgress (
  options: Pick<RequestProgress, 'holdsKey' | 'keyHome' | 'localOnly' | 'singleUseBody'>
): RequestProgress {
  // Written out: spreading `options` took a third of the time of a request.
  return {
    openAttemptIds: [],
    excludedTargetIds: NO_TARGETS,
    endedAttempts: [],
    dispatches: 0,
    forwards: 0,
    possiblyRun: false,
    relayedAttemptId: undefined,
    callerDisconnected: false,
    holdsKey: options.holdsKey,
    keyHome: options.keyHome,
    refusedByKeyHome: false,
    localOnly: options.localOnly,
    singleUseBody: options.singleUseBody,
    countedAsMoved: false
  }
}

/** Excludes a target from later attempts. */
export function excludeTarget (progress: RequestProgress, targetId: string): void {
  progress.excludedTargetIds = new Set(progress.excludedTargetIds).add(targetId)
}

/** Makes all targets selectable again. */
export function clearExcludedTargets (progress: RequestProgress): void {
  progress.excludedTargetIds = NO_TARGETS
}
