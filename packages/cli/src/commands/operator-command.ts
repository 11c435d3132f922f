/**
 * Base classes of the commands: printing of answers and errors, and the options of commands that call the operator port.
 */
import type { Operation, Plan } from '@arbutustray/core'
import type { ExitCode } from '../exit-code.js'
import type { OperatorClient, OperatorError } from '../operator-client.js'
import { MAX_OPERATIONS_PER_CHANGE } from '@arbutustray/core'
import { Command, Option } from 'clipanion'
import { writeFile } from 'node:fs/promises'
import { EXIT } from '../exit-code.js'
import { formatPlan } from '../format.js'
import { createOperatorClient } from '../operator-client.js'

const ERROR_EXIT_CODES: { readonly [T in OperatorError['type']]: ExitCode } = {
  unavailable: EXIT.unavailable,
  refused: EXIT.refused,
  unknown: EXIT.unknown
}

/** A command that prints its answer as text or, with `--json`, as JSON. */
export abstract class PrintingCommand extends Command {
  json = Option.Boolean('--json', false, { description: 'Print the answer as JSON.' })

  protected print (value: unknown, text: string): void {
    this.context.stdout.write(`${this.json ? JSON.stringify(value, undefined, 2) : text}\n`)
  }

  protected printToStderr (text: string): void {
    this.context.stderr.write(`${text}\n`)
  }

  /** Prints the error and returns the exit code for it. */
  protected fail (error: OperatorError): ExitCode {
    this.printToStderr(`${error.type}: ${error.reason}`)
    return ERROR_EXIT_CODES[error.type]
  }
}

/** A command that calls the operator port. */
export abstract class OperatorCommand extends PrintingCommand {
  operator = Option.String('--operator', '127.0.0.1:8081', {
    env: 'ARBUTUSTRAY_OPERATOR',
    description: 'Operator address of an entry instance, host:port. Also ARBUTUSTRAY_OPERATOR.'
  })

  token = Option.String('--token', { env: 'ARBUTUSTRAY_TOKEN', description: 'Operator token. Also ARBUTUSTRAY_TOKEN.' })

  protected client (): OperatorClient {
    return createOperatorClient(this.operator, this.token)
  }

  /**
   * Requests a plan, prints it and writes it to the file `out` if given. Returns an exit code if there is nothing to change
   * or if the plan can't be confirmed.
   */
  protected async makePlan (operations: readonly Operation[], out?: string): Promise<Plan | ExitCode> {
    if (operations.length === 0) {
      this.printToStderr('nothing to change')
      return EXIT.ok
    }
    if (operations.length > MAX_OPERATIONS_PER_CHANGE) {
      this.printToStderr(`the change needs ${operations.length} operations, expected at most ${MAX_OPERATIONS_PER_CHANGE}; apply it in parts`)
      return EXIT.usage
    }
    const planned = await this.client().plan(operations)
    if (planned.isErr()) return this.fail(planned.error)
    const plan = planned.value
    this.print(plan, formatPlan(plan))
    if (out !== undefined) await writeFile(out, `${JSON.stringify(plan, undefined, 2)}\n`)
    return plan.blockers.length === 0 ? plan : EXIT.blocked
  }
}
