/**
 * Executes the engine's commands by a table with one handler for each type of command.
 */
import type { Command, PullConfiguration, PullList, SendHeartbeat } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import type { CallerExchange } from './caller-exchange.js'
import type { AttemptClient } from './attempt-client.js'

/** The parts of the instance that the commands act on. */
export interface CommandExecutorOptions {
  readonly exchanges: ReadonlyMap<string, CallerExchange>
  readonly attemptClient: AttemptClient
  readonly sendHeartbeat: (command: SendHeartbeat) => void
  readonly pullConfiguration: (command: PullConfiguration) => void
  readonly pullList: (command: PullList) => void
  /** Called when the graceful shutdown is complete. */
  readonly onStopped: () => void
  readonly telemetry: Telemetry
}

type CommandHandlers = { readonly [T in Command['type']]: (command: Extract<Command, { type: T }>) => void }

/** Creates the function that executes one command. Commands for an exchange that has ended have no effect. */
export function createCommandExecutor (options: CommandExecutorOptions): (command: Command) => void {
  const { exchanges, attemptClient, telemetry } = options
  const handlers: CommandHandlers = {
    dispatch: attemptClient.dispatch,
    forward: attemptClient.forward,
    'cancel-attempt': attemptClient.cancel,
    relay: attemptClient.relay,
    replay: command => exchanges.get(command.requestId)?.replay(command.answer),
    respond: command => exchanges.get(command.requestId)
      ?.respond(command.outcome, command.reason, command.status, command.retryAfterMs),
    reset: command => {
      telemetry.log('caller-reset', { requestId: command.requestId, reason: command.reason })
      exchanges.get(command.requestId)?.reset(command.reason)
    },
    'send-heartbeat': options.sendHeartbeat,
    'pull-configuration': options.pullConfiguration,
    'pull-list': options.pullList,
    stopped: options.onStopped
  }
  return command => {
    try {
      (handlers[command.type] as (command: Command) => void)(command)
    } catch (error) {
      // For example, Node refuses to send an invalid header value of an upstream. Other requests must not be affected.
      telemetry.log('command-fault', { command: command.type, error: String(error) })
      if ('requestId' in command) exchanges.get(command.requestId)?.reset('upstream-failed')
    }
  }
}
