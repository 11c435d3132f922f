/**
 * The routing state of a request that changes with each attempt. It is kept apart from the row in `world.requests`
 * because rows are read-only.
 */
import type { RoutingDecision } from '../create-engine.js'

/** An attempt that ended, as `explain` reports it. */
export type EndedAttempt = RoutingDecision['attempts'][number]

/** The attempts of one request, and what they determine about its further handling. */
export interface RequestProgress {
  /** Ids of the attempts that have not ended. */
  openAttemptIds: readonly string[]
  /** Upstreams and instances that refused or failed this request. They are not selected for it again. */
  excludedTargetIds: ReadonlySet<string>
  readonly endedAttempts: EndedAttempt[]
  dispatches: number
  forwards: number
  /** An ended attempt was written and not refused, so an upstream may have run the request. */
  possiblyRun: boolean
  /** The attempt whose answer is relayed to the caller. */
  relayedAttemptId: string | undefined
  /** The caller closed its exchange. The request only continues so that the outcome of its key is recorded. */
  callerDisconnected: boolean
  /** This request runs its idempotency key, and must settle the key in the key store when it ends. */
  readonly holdsKey: boolean
  /** The other instance that issued the idempotency key and to which the request is forwarded. */
  readonly keyHome: string | undefined
  /** The instance that issued the key stated that the request was not run. */
  refusedByKeyHome: boolean
  /** A peer forwarded the request to be run here at once: it is neither forwarded again nor queued. */
  readonly localOnly: boolean
  /** The body is streamed from the caller, so a request whose attempt was written is not sent again. */
  readonly singleUseBody: boolean
  /** The shift meter has counted the request as moved out of its origin zone. It is counted once. */
  countedAsMoved: boolean
}

/** Whether an upstream may have run the request. `openMayHaveRun` says it of the open attempts. */
export function mayHaveRun (progress: RequestProgress, openMayHaveRun: boolean): boolean {
  return progress.possiblyRun || openMayHaveRun || (progress.keyHome !== undefined && !progress.refusedByKeyHome)
}

const NO_TARGETS: ReadonlySet<string> = new Set()

/** Creates the progress of a request without attempts. */
export function createRequestProgress (
  options: Pick<RequestProgress, 'holdsKey' | 'keyHome' | 'localOnly' | 'singleUseBody'>
): RequestProgress {
  // The properties are listed because spreading `options` took a third of the time of a request.
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

/** Excludes an upstream or instance from later attempts of the request. */
export function excludeTarget (progress: RequestProgress, targetId: string): void {
  progress.excludedTargetIds = new Set(progress.excludedTargetIds).add(targetId)
}

/** Allows all upstreams and instances again for later attempts of the request. */
export function clearExcludedTargets (progress: RequestProgress): void {
  progress.excludedTargetIds = NO_TARGETS
}
