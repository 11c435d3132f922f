/**
 * Base class of the commands that confirm a plan: its options, the call and the printing of the outcome.
 */
import type { Plan } from '@arbutustray/core'
import type { ExitCode } from '../exit-code.js'
import type { ConfirmationAnswer } from '../operator-client.js'
import { Option } from 'clipanion'
import { randomUUID } from 'node:crypto'
import { EXIT } from '../exit-code.js'
import { formatPlan } from '../format.js'
import { OperatorCommand } from './operator-command.js'

const ANSWER_EXIT_CODES: { readonly [T in ConfirmationAnswer['type']]: ExitCode } = {
  accepted: EXIT.ok,
  conflict: EXIT.conflict,
  blocked: EXIT.blocked,
  unavailable: EXIT.unavailable,
  unknown: EXIT.unknown
}

const ANSWER_FORMATTERS: { readonly [T in ConfirmationAnswer['type']]: (answer: Extract<ConfirmationAnswer, { type: T }>) => string } = {
  accepted: answer => `accepted as version ${answer.version}`,
  conflict: answer => `the configuration changed since the plan; new plan:\n${formatPlan(answer.plan)}`,
  blocked: answer => `blocked:\n${answer.blockers.map(blocker => `  ${blocker}`).join('\n')}`,
  unavailable: answer => `not changed: ${answer.reason}`,
  unknown: answer => `outcome unknown: ${answer.reason}`
}

/** A command that confirms a plan. */
export abstract class ConfirmingCommand extends OperatorCommand {
  actor = Option.String('--actor', {
    env: 'ARBUTUSTRAY_ACTOR',
    description: "Operator's name, for the record of changes. Also ARBUTUSTRAY_ACTOR."
  })

  reason = Option.String('--reason', { description: 'Why the change is made, for the record of changes.' })
  changeId = Option.String('--change-id', { description: 'Id of an earlier confirmation whose outcome is unknown.' })

  /** Reports a missing `--actor` or `--reason`, which are recorded with every change. Returns whether one is missing. */
  protected reportMissingOption (): boolean {
    const missing = this.actor === undefined ? '--actor' : this.reason === undefined ? '--reason' : undefined
    if (missing !== undefined) this.printToStderr(`${missing} is required`)
    return missing !== undefined
  }

  /** Confirms the plan and prints the outcome. The change id is printed if the outcome is unknown, for a repetition. */
  protected async confirmPlan (plan: Plan): Promise<ExitCode> {
    const { planId, baseVersion, operations } = plan
    const changeId = this.changeId ?? randomUUID()
    const auditFields = { actor: this.actor ?? '', reason: this.reason ?? '' }
    const answer = await this.client().confirm({ planId, baseVersion, operations, changeId, ...auditFields })
    const outcome: ConfirmationAnswer | undefined = answer.isOk() ? answer.value : undefined
    if (outcome === undefined || outcome.type === 'unknown') this.printToStderr(`change id ${changeId}`)
    if (answer.isErr()) return this.fail(answer.error)
    const text = ANSWER_FORMATTERS[answer.value.type] as (value: ConfirmationAnswer) => string
    this.print({ changeId, ...answer.value }, text(answer.value))
    return ANSWER_EXIT_CODES[answer.value.type]
  }
}
