/**
 * Handles the confirmation of a plan, the second step of a configuration change: recomputes the plan and commits the
 * change if the plan is still the one that the operator confirmed.
 */
import { wallNow } from '@arbutustray/core'
import type { Configuration, Confirmation, Engine, Plan } from '@arbutustray/core'
import type { CommitError, ConfigurationWriter } from '@arbutustray/object-store'
import type { Telemetry } from '@arbutustray/telemetry'
import type { Emit } from './event-queue.js'

/** HTTP status and body of the answer to a confirmation. */
export type ConfirmationAnswer =
  | { readonly status: 200, readonly body: { readonly version: number } }
  | { readonly status: 202, readonly body: { readonly reason: 'unknown', readonly detail: string } }
  | { readonly status: 409, readonly body: { readonly plan: Plan } }
  | { readonly status: 422, readonly body: { readonly blockers: readonly string[] } }
  | { readonly status: 503, readonly body: { readonly reason: string } }

export interface ConfirmationHandlerOptions {
  readonly engine: Engine
  readonly emit: Emit
  readonly writer: ConfigurationWriter
  /** Whether the newest version of the configuration is known. If not, confirmations are refused. */
  readonly isPlatformReachable: () => boolean
  readonly telemetry: Telemetry
}

/** Creates the function that handles confirmations. */
export function createConfirmationHandler (options: ConfirmationHandlerOptions): (confirmation: Confirmation) => Promise<ConfirmationAnswer> {
  const { engine, emit, telemetry } = options

  function emitConfiguration (configuration: Configuration): void {
    emit({ type: 'configuration-received', configuration, source: 'platform' })
  }

  /** Returns the answer if no write is needed or allowed, and `undefined` if the change can be committed. */
  function answerWithoutWrite (confirmation: Confirmation): ConfirmationAnswer | undefined {
    const earlierChange = engine.configuration()?.recent.find(change => change.changeId === confirmation.changeId)
    if (earlierChange !== undefined) return { status: 200, body: { version: earlierChange.version } }
    if (!options.isPlatformReachable()) return { status: 503, body: { reason: 'the platform can not be reached' } }
    return engine.plan(confirmation.operations).match<ConfirmationAnswer | undefined>(
      plan => {
        const isPlanUnchanged = plan.baseVersion === confirmation.baseVersion && plan.planId === confirmation.planId
        if (!isPlanUnchanged) return { status: 409, body: { plan } }
        return plan.blockers.length > 0 ? { status: 422, body: { blockers: plan.blockers } } : undefined
      },
      error => ({ status: 503, body: { reason: error.reason } })
    )
  }

  const answerByCommitError: { readonly [T in CommitError['type']]: (
    error: Extract<CommitError, { type: T }>, confirmation: Confirmation
  ) => ConfirmationAnswer } = {
    conflict: ({ configuration }, { operations }) => {
      emitConfiguration(configuration)
      return engine.plan(operations).match<ConfirmationAnswer>(
        plan => ({ status: 409, body: { plan } }),
        error => ({ status: 503, body: { reason: error.reason } })
      )
    },
    unavailable: ({ reason }) => ({ status: 503, body: { reason } }),
    rejected: ({ reason }) => ({ status: 503, body: { reason } }),
    unknown: ({ reason }) => ({ status: 202, body: { reason: 'unknown', detail: reason } })
  }

  return async confirmation => {
    const earlyAnswer = answerWithoutWrite(confirmation)
    if (earlyAnswer !== undefined) return earlyAnswer
    const { changeId, actor, reason, operations, baseVersion } = confirmation
    const committed = await options.writer.commit({ changeId, actor, reason, operations, baseVersion, at: wallNow() })
    return committed.match<ConfirmationAnswer>(
      configuration => {
        emitConfiguration(configuration)
        const version = configuration.recent.find(change => change.changeId === changeId)?.version ?? configuration.version
        telemetry.log('change-confirmed', { changeId, actor, reason, version })
        return { status: 200, body: { version } }
      },
      error => {
        telemetry.log('change-refused', { changeId, actor, error: error.type })
        const answer = answerByCommitError[error.type] as (error: CommitError, confirmation: Confirmation) => ConfirmationAnswer
        return answer(error, confirmation)
      }
    )
  }
}
