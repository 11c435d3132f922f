/**
 * Embeds the core package in a program without running an entry instance. A function plays the upstreams, and callers
 * wait on promises.
 */
import type { Command, Event } from '@arbutustray/core'
import { createEngine, TICK_PERIOD_MS } from '@arbutustray/core'
import { CONFIGURATION, LIST } from './configuration.js'

/** Runs a request at an upstream and returns the answer. A rejection means that the request may have run. */
export type Run = (upstreamId: string) => Promise<string>

/** Starts an engine. `get` sends a request and resolves with its outcome, the reason and the upstream's answer. */
export function createSteering (run: Run): { get: (path: string) => Promise<string>, close: () => void } {
  const self = { id: 'i1', zone: 'zagreb-1', address: 'i1:1', peerAddress: 'i1:2', incarnation: 'a' }
  const engine = createEngine({ self, seed: 1 })
  const pendingCallers = new Map<string, (answer: string) => void>()
  /** Answers of running attempts by id, `undefined` until the answer arrives. Cancelled attempts are removed. */
  const attemptAnswers = new Map<string, string | undefined>()
  const emit = (event: Event): void => { engine.handle(event).forEach(execute) }

  function resolveCaller (requestId: string, answer: string): void {
    pendingCallers.get(requestId)?.(answer)
    pendingCallers.delete(requestId)
  }

  async function attempt (attemptId: string, upstreamId: string): Promise<void> {
    if (!attemptAnswers.has(attemptId)) return
    emit({ type: 'attempt-written', attemptId })
    const answer = await run(upstreamId).catch(() => undefined)
    attemptAnswers.set(attemptId, answer)
    if (answer !== undefined) emit({ type: 'attempt-answered', attemptId, status: 200 })
    emit(answer === undefined ? { type: 'attempt-failed', attemptId, truncated: false } : { type: 'attempt-finished', attemptId })
    attemptAnswers.delete(attemptId)
  }

  function execute (command: Command): void {
    if (command.type === 'dispatch') {
      attemptAnswers.set(command.attemptId, undefined)
      // Deferred, because an event may only be delivered once all commands of the current one are executed.
      queueMicrotask(() => { attempt(command.attemptId, command.upstreamId) })
    } else if (command.type === 'cancel-attempt') attemptAnswers.delete(command.attemptId)
    else if (command.type === 'relay') resolveCaller(command.requestId, `served ${command.reason} ${attemptAnswers.get(command.attemptId)}`)
    else if (command.type === 'respond') resolveCaller(command.requestId, `${command.outcome} ${command.reason}`)
  }

  emit({ type: 'configuration-received', configuration: CONFIGURATION, source: 'platform' })
  emit({ type: 'list-received', entries: LIST })
  const timer = setInterval(() => emit({ type: 'tick' }), TICK_PERIOD_MS)
  let count = 0
  const get = async (path: string): Promise<string> => await new Promise(resolve => {
    const requestId = `r${++count}`
    pendingCallers.set(requestId, resolve)
    emit({ type: 'request-arrived', requestId, service: 'token', method: 'GET', path })
  })
  return { get, close: () => clearInterval(timer) }
}
