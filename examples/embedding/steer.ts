/**
 * Embeds the decision package without the daemon: a function stands in for the upstreams, promises for the callers.
 */
import type { Command, Event } from '@arbutustray/core'
import { createEngine, TICK_PERIOD_MS } from '@arbutustray/core'
import { CONFIGURATION, LIST } from './configuration.js'

/** Runs a request at an upstream and returns its answer. A rejection means that it may have run. */
export type Run = (upstreamId: string) => Promise<string>

/** Starts an engine and returns `get`, which resolves with outcome, reason and the upstream's answer. */
export function createSteering (run: Run): { get: (path: string) => Promise<string>, close: () => void } {
  const self = { id: 'i1', zone: 'zagreb-1', address: 'i1:1', peerAddress: 'i1:2', incarnation: 'a' }
  const engine = createEngine({ self, seed: 1 })
  const callers = new Map<string, (answer: string) => void>()
  /** Answers of the attempts that are not cancelled. */
  const running = new Map<string, string | undefined>()
  const emit = (event: Event): void => { engine.handle(event).forEach(execute) }

  function end (requestId: string, answer: string): void {
    callers.get(requestId)?.(answer)
    callers.delete(requestId)
  }

  async function attempt (attemptId: string, upstreamId: string): Promise<void> {
    if (!running.has(attemptId)) return
    emit({ type: 'attempt-written', attemptId })
    const answer = await run(upstreamId).catch(() => undefined)
    running.set(attemptId, answer)
    if (answer !== undefined) emit({ type: 'attempt-answered', attemptId, status: 200 })
    emit(answer === undefined ? { type: 'attempt-failed', attemptId, truncated: false } : { type: 'attempt-finished', attemptId })
    running.delete(attemptId)
  }

  function execute (command: Command): void {
    if (command.type === 'dispatch') {
      running.set(command.attemptId, undefined)
      // Not inside the engine's own call: commands are carried out in order, and events must wait for the rest.
      queueMicrotask(() => { attempt(command.attemptId, command.upstreamId) })
    } else if (command.type === 'cancel-attempt') running.delete(command.attemptId)
    else if (command.type === 'relay') end(command.requestId, `served ${command.reason} ${running.get(command.attemptId)}`)
    else if (command.type === 'respond') end(command.requestId, `${command.outcome} ${command.reason}`)
  }

  emit({ type: 'configuration-received', configuration: CONFIGURATION, source: 'platform' })
  emit({ type: 'list-received', entries: LIST })
  const timer = setInterval(() => emit({ type: 'tick' }), TICK_PERIOD_MS)
  let count = 0
  const get = async (path: string): Promise<string> => await new Promise(resolve => {
    const requestId = `r${++count}`
    callers.set(requestId, resolve)
    emit({ type: 'request-arrived', requestId, service: 'token', method: 'GET', path })
  })
  return { get, close: () => clearInterval(timer) }
}
