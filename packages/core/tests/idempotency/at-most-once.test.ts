/**
 * Property test: several instances issue keys, a network loses, delays and duplicates requests, and instances crash and
 * restart at random. The model counts how often each key ran and records the outcomes that its callers received.
 */
import type { Outcome } from '../../src/reason.js'
import type { KeyStore } from '../../src/idempotency/key-store.js'
import type { World } from '../../src/tables.js'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { createWorld, runSystems } from '../../src/system.js'
import { createKeyStore, KEY_VALIDITY_MS } from '../../src/idempotency/key-store.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { listedEntryInstance, createLocalInstance } from '../fixtures.js'

const NODES = ['i1', 'i2', 'i3']
const MAX_KEYS = 4

interface Node { store: KeyStore, startedAt: number, runs: Map<string, string> }

/** A request on its way to `node`. It is forwarded at most once, to the key's home. */
interface Message { readonly key: string, readonly node: number, readonly hops: number }

type Step =
  | { readonly type: 'issue', readonly node: number }
  | { readonly type: 'send', readonly key: number, readonly node: number, readonly copies: number }
  | { readonly type: 'deliver', readonly message: number }
  | { readonly type: 'lose', readonly message: number }
  | { readonly type: 'end', readonly run: number, readonly outcome: Outcome }
  | { readonly type: 'restart', readonly node: number }
  | { readonly type: 'wait', readonly ms: number }

const index = fc.nat({ max: 30 })
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ type: fc.constant('issue' as const), node: index }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('send' as const), key: index, node: index, copies: fc.integer({ min: 1, max: 3 }) }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('deliver' as const), message: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('lose' as const), message: index }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('end' as const), run: index, outcome: fc.constantFrom<Outcome>('served', 'not-run', 'unknown') }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), node: index }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('wait' as const), ms: fc.constantFrom(1, 1_500, KEY_VALIDITY_MS / 2, KEY_VALIDITY_MS) }) }
)

class Model {
  readonly nodes: Node[] = NODES.map(() => ({ store: undefined as unknown as KeyStore, startedAt: 0, runs: new Map() }))
  readonly keys: string[] = []
  readonly messages: Message[] = []
  readonly executions = new Map<string, number>()
  readonly reportedNotRun = new Set<string>()
  readonly waiting = new Map<string, string>()
  readonly answered = new Set<string>()
  now = 0
  requests = 0
  restarts = 0

  constructor () {
    this.nodes.forEach((_, node) => this.restart(node))
  }

  /** A crash loses the store and its secret. The monotonic clock of a new process starts again. */
  restart (node: number): void {
    this.restarts += 1
    const world: World = createWorld({ ...createLocalInstance(NODES[node] as string, 'z1'), incarnation: `n${this.restarts}` })
    runSystems([createMembershipSystem(world)], { type: 'list-received', entries: NODES.map(id => listedEntryInstance(id, 'z1')) }, 0)
    const target = this.nodes[node] as Node
    // The upstream may still run the requests that the crashed process had sent.
    for (const key of target.runs.keys()) this.execute(key)
    for (const requestId of [...this.waiting.keys()]) if (requestId.startsWith(`${node}/`)) this.waiting.delete(requestId)
    Object.assign(target, { store: createKeyStore({ world, maxKeys: MAX_KEYS }), startedAt: this.now, runs: new Map() })
  }

  recordOutcome (key: string, outcome: Outcome): void {
    if (outcome === 'not-run') {
      this.reportedNotRun.add(key)
      expect(this.executions.get(key) ?? 0).toBe(0)
    }
  }

  execute (key: string): void {
    expect(this.reportedNotRun.has(key)).toBe(false)
    const runs = (this.executions.get(key) ?? 0) + 1
    this.executions.set(key, runs)
    expect(runs).toBe(1)
  }

  deliver ({ key, node, hops }: Message): void {
    const target = this.nodes[node] as Node
    this.requests += 1
    const requestId = `${node}/${this.requests}`
    const claim = target.store.claim(key, requestId, this.now - target.startedAt)
    if (claim.type === 'run') target.runs.set(key, requestId)
    else if (claim.type === 'wait') this.waiting.set(requestId, key)
    else if (claim.type === 'replay') this.recordOutcome(key, 'served')
    else if (claim.type === 'respond') this.recordOutcome(key, claim.outcome)
    else if (hops === 0) this.messages.push({ key, node: NODES.indexOf(claim.instanceId), hops: 1 })
  }

  /** Ends a run. The upstream ran the request unless the outcome is `not-run`; with `unknown` the answer was lost. */
  end (node: Node, key: string, requestId: string, outcome: Outcome): void {
    if (outcome !== 'not-run') this.execute(key)
    node.runs.delete(key)
    const answer = { status: 200, headers: [] }
    const commands = node.store.settle(key, requestId, outcome, 'home-zone', outcome === 'served' ? answer : undefined, this.now - node.startedAt)
    this.recordOutcome(key, outcome)
    for (const command of commands) {
      if (command.type !== 'replay' && command.type !== 'respond') throw new Error(`unexpected ${command.type}`)
      expect(this.waiting.get(command.requestId)).toBe(key)
      this.waiting.delete(command.requestId)
      this.recordOutcome(key, command.type === 'replay' ? 'served' : command.outcome)
    }
    expect([...this.waiting.values()]).not.toContain(key)
  }

  applyStep (step: Step): void {
    if (step.type === 'wait') this.now += step.ms
    else if (step.type === 'issue') {
      const node = this.nodes[step.node % NODES.length] as Node
      node.store.issue(2, this.now - node.startedAt).map(issued => this.keys.push(...issued.keys))
    } else if (step.type === 'restart') this.restart(step.node % NODES.length)
    else if (step.type === 'send' && this.keys.length > 0) {
      const key = this.keys[step.key % this.keys.length] as string
      for (let copy = 0; copy < step.copies; copy += 1) this.messages.push({ key, node: (step.node + copy) % NODES.length, hops: 0 })
    } else if ((step.type === 'deliver' || step.type === 'lose') && this.messages.length > 0) {
      const [message] = this.messages.splice(step.message % this.messages.length, 1)
      if (step.type === 'deliver' && message !== undefined) this.deliver(message)
    } else if (step.type === 'end') {
      const runs = this.nodes.flatMap(node => [...node.runs].map(([key, requestId]) => ({ node, key, requestId })))
      const run = runs[step.run % runs.length]
      if (run !== undefined) this.end(run.node, run.key, run.requestId, step.outcome)
    }
  }
}

describe('idempotency keys under faults', () => {
  it('run at most once and never after the outcome not-run, guarding against duplicate purchases', () => {
    let executed = 0
    fc.assert(fc.property(fc.array(step, { minLength: 40, maxLength: 200 }), steps => {
      const model = new Model()
      for (const taken of steps) model.applyStep(taken)
      executed += model.executions.size
    }))
    // Ensures that the random steps run enough keys to make the property meaningful.
    expect(executed).toBeGreaterThan(100)
  })
})
