/**
 * Replays recorded traces through the engine and compares the results with the outcome that each trace states. Traces
 * identify an attempt by its request, a listed upstream by `id zone state` and a key by the name in its `issue` step.
 */
import type { Configuration } from '../../src/configuration.js'
import type { Engine } from '../../src/create-engine.js'
import type { Event, ListedInstance, RequestArrived } from '../../src/event.js'
import { readFileSync, readdirSync } from 'node:fs'
import { describe, expect, it, vi } from 'vitest'
import { createEngine } from '../../src/create-engine.js'
import { CONFIGURATION, listedUpstream, createLocalInstance } from '../fixtures.js'

interface Outcome {
  readonly decisions: Readonly<Record<string, string>>
  readonly dispatched: readonly string[]
  readonly dispatchedTo?: Readonly<Record<string, string>>
  readonly stoppedAt: number | null
  readonly version: number
}

type Recorded = Event & { readonly attemptId?: string, readonly key?: string, readonly entries?: readonly string[] }

interface Trace {
  readonly fault: string
  readonly guarantee: number
  readonly steps: ReadonlyArray<{ readonly at: number, readonly event?: Recorded, readonly issue?: string }>
  readonly outcome: Outcome
}

const directory = new URL('.', import.meta.url)
const traces = readdirSync(directory).filter(name => name.endsWith('.json'))

/** The configuration of all traces, with a route of each kind: repeatable prices, plain ledgers, protected purchases. */
const BASE: Configuration = {
  ...CONFIGURATION,
  services: CONFIGURATION.services.map(service => ({
    ...service,
    routes: [
      ...service.routes,
      { method: 'GET', prefix: '/prices', kind: 'repeatable', length: 'short' },
      { method: 'PUT', prefix: '/ledgers', kind: 'plain', length: 'long' }
    ]
  }))
}

function toEvent (recorded: Recorded, attempts: ReadonlyMap<string, string>, keys: ReadonlyMap<string, string>): Event {
  const event: Record<string, unknown> = { ...recorded }
  if (recorded.attemptId !== undefined) event.attemptId = attempts.get(recorded.attemptId)
  if (recorded.key !== undefined) event.key = keys.get(recorded.key)
  if (recorded.type === 'configuration-received') event.configuration = { ...BASE, ...recorded.configuration }
  if (recorded.type === 'list-received') {
    event.entries = (recorded.entries as unknown as readonly string[]).map(text => {
      const [id = '', zone = '', state = 'live'] = text.split(' ')
      return listedUpstream(id, zone, state as ListedInstance['state'])
    })
  }
  return event as unknown as Event
}

function replay (trace: Trace, engine: Engine): Outcome {
  const startedAt = performance.now()
  const attempts = new Map<string, string>()
  const keys = new Map<string, string>()
  const dispatchedTo: Record<string, string> = {}
  const requests: string[] = []
  let stoppedAt: number | null = null
  for (const step of trace.steps) {
    vi.advanceTimersByTime(startedAt + step.at - performance.now())
    if (step.issue !== undefined) keys.set(step.issue, engine.issueKeys(1)._unsafeUnwrap().keys[0] as string)
    if (step.event === undefined) continue
    if (step.event.type === 'request-arrived') requests.push((step.event as RequestArrived).requestId)
    for (const command of engine.handle(toEvent(step.event, attempts, keys))) {
      if (command.type === 'dispatch') {
        attempts.set(command.requestId, command.attemptId)
        dispatchedTo[command.requestId] = command.upstreamId
      } else if (command.type === 'stopped') {
        expect(stoppedAt).toBeNull()
        stoppedAt = step.at
      }
    }
  }
  const decided = requests.flatMap(id => {
    const decision = engine.explain(id)
    return decision === undefined ? [] : [[id, `${decision.outcome} ${decision.reason}`] as const]
  })
  return {
    decisions: Object.fromEntries(decided),
    dispatched: Object.keys(dispatchedTo),
    ...(trace.outcome.dispatchedTo === undefined ? {} : { dispatchedTo }),
    stoppedAt,
    version: engine.configuration()?.version ?? 0
  }
}

describe('recorded traces', () => {
  it.each(traces)('%s ends with its stated outcome', name => {
    const trace = JSON.parse(readFileSync(new URL(name, directory), 'utf8')) as Trace
    expect(replay(trace, createEngine({ self: createLocalInstance('i1', 'z1'), seed: 1 }))).toEqual(trace.outcome)
  })
})
