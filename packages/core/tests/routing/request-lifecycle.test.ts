/**
 * Model-based test: sends random sequences of events to the routing system and compares its commands with a model of
 * the requests and their attempts. Guards against orders of events after which a request gets no answer, two answers or
 * a false `not-run`, or an upstream more attempts than it has slots.
 */
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { Command } from '../../src/command.js'
import type { Event, RequestArrived } from '../../src/event.js'
import { runSystems } from '../../src/system.js'
import { createRouting } from '../../src/routing/routing-system.js'
import type { RoutingDependencies } from '../../src/routing/routing-dependencies.js'
import type { Routing } from '../../src/routing/routing-system.js'
import type { World } from '../../src/tables.js'
import { createKeyStore } from '../../src/idempotency/key-store.js'
import { createRoutingDependencies } from '../../src/routing/create-routing-dependencies.js'
import { createFakeDependencies, createTestWorld, SLOTS } from './fake-dependencies.js'

type AttemptState = 'created' | 'written' | 'answered' | 'finished' | 'refused' | 'failed' | 'cancelled'

interface ModelAttempt { readonly id: string, readonly requestId: string, readonly upstreamId?: string, state: AttemptState, written: boolean }

interface ModelRequest {
  readonly event: RequestArrived
  readonly deadlineAt: number
  answers: number
  relayed: boolean
  cancelled: boolean
}

/** The states that can follow each state of an attempt, with the event that reports the change. */
const TRANSITIONS: { readonly [S in AttemptState]?: ReadonlyArray<readonly [AttemptState, (attemptId: string) => Event]> } = {
  created: [
    ['written', attemptId => ({ type: 'attempt-written', attemptId })],
    ['written', attemptId => ({ type: 'attempt-written', attemptId })],
    ['refused', attemptId => ({ type: 'attempt-refused', attemptId, proof: 'not-written' })]
  ],
  written: [
    ['answered', attemptId => ({ type: 'attempt-answered', attemptId, status: 200 })],
    ['refused', attemptId => ({ type: 'attempt-refused', attemptId, proof: 'shed' })],
    ['failed', attemptId => ({ type: 'attempt-failed', attemptId, truncated: false })]
  ],
  answered: [
    ['finished', attemptId => ({ type: 'attempt-finished', attemptId })],
    ['failed', attemptId => ({ type: 'attempt-failed', attemptId, truncated: true })]
  ],
  // An event that was already on its way when the attempt was cancelled.
  cancelled: [['cancelled', attemptId => ({ type: 'attempt-answered', attemptId, status: 200 })]]
}

class Model {
  now = 0
  readonly world = createTestWorld(2)
  readonly requests = new Map<string, ModelRequest>()
  readonly attempts: ModelAttempt[] = []
  private readonly hedgePolicy = { recordLatency: () => {}, delayMs: () => 5, tryAcquire: () => true }
  private readonly dependencies: RoutingDependencies
  private readonly routing: Routing
  private readonly keys = new Map<string, string>()

  constructor (create: (world: World) => RoutingDependencies) {
    this.dependencies = { ...create(this.world), hedgePolicy: this.hedgePolicy }
    this.routing = createRouting(this.world, this.dependencies)
  }

  /** The key that the real key store of the named home issued, or the name itself with the fake key store. */
  keyFor (name: string): string {
    let key = this.keys.get(name)
    if (key !== undefined) return key
    const self = { ...this.world.self, id: name.split('/')[0]! }
    const store = self.id === this.world.self.id ? this.dependencies.keyStore : createKeyStore({ world: { ...this.world, self } })
    key = store.issue(1, this.now).map(issued => issued.keys[0]!).unwrapOr(name)
    this.keys.set(name, key)
    return key
  }

  handle (event: Event): void {
    for (const command of runSystems([this.routing.system], event, this.now)) this.apply(command)
  }

  arrive (fields: Pick<RequestArrived, 'path' | 'key' | 'forwarded' | 'timeoutMs'>): void {
    const requestId = `q${this.requests.size + 1}`
    const event: RequestArrived = { type: 'request-arrived', requestId, service: 's', method: 'GET', ...fields }
    const deadlineAt = this.now + (fields.timeoutMs ?? 1_000)
    this.requests.set(requestId, { event, deadlineAt, answers: 0, relayed: false, cancelled: false })
    this.handle(event)
  }

  cancel (requestIndex: number): void {
    const request = [...this.requests.values()][requestIndex % Math.max(1, this.requests.size)]
    if (request === undefined) return
    request.cancelled = true
    this.handle({ type: 'request-cancelled', requestId: request.event.requestId })
  }

  advance (attemptIndex: number, transitionIndex: number): void {
    const open = this.attempts.filter(attempt => TRANSITIONS[attempt.state] !== undefined)
    const attempt = open[attemptIndex % Math.max(1, open.length)]
    const transitions = attempt === undefined ? undefined : TRANSITIONS[attempt.state]
    if (attempt === undefined || transitions === undefined) return
    const [state, event] = transitions[transitionIndex % transitions.length]!
    attempt.state = state
    attempt.written ||= state === 'written'
    this.handle(event(attempt.id))
  }

  finish (): void {
    this.now += 10_000
    this.handle({ type: 'tick' })
    for (const attempt of this.attempts) {
      if (attempt.state !== 'answered') continue
      attempt.state = 'finished'
      this.handle({ type: 'attempt-finished', attemptId: attempt.id })
    }
  }

  private apply (command: Command): void {
    switch (command.type) {
      case 'dispatch': return this.recordAttemptStart(command.requestId, { ...command, id: command.attemptId })
      case 'forward':
        expect(this.requests.get(command.requestId)!.event.forwarded, 'a forwarded request is not forwarded').toBe(undefined)
        return this.recordAttemptStart(command.requestId, { id: command.attemptId, requestId: command.requestId })
      case 'cancel-attempt':
        this.attempts.find(attempt => attempt.id === command.attemptId)!.state = 'cancelled'
        return
      case 'relay': {
        const request = this.requests.get(command.requestId)!
        request.answers += 1
        request.relayed = true
        return
      }
      case 'reset':
        expect(this.requests.get(command.requestId)!.relayed, 'only a relayed answer is reset').toBe(true)
        return
      case 'replay':
        this.requests.get(command.requestId)!.answers += 1
        return
      case 'respond':
        this.requests.get(command.requestId)!.answers += 1
        if (command.outcome === 'not-run') this.checkNotRun(command.requestId)
    }
  }

  /** Attempts of the request, or of another request with a key of this instance, that an upstream may have run. */
  private possiblyRunAttempts (requestId: string): readonly ModelAttempt[] {
    const keyOf = (id: string): string | undefined => this.requests.get(id)!.event.key
    const key = keyOf(requestId)
    return this.attempts.filter(attempt => attempt.written && attempt.state !== 'refused' &&
      (attempt.requestId === requestId || (this.isIssuedHere(key) && key === keyOf(attempt.requestId))))
  }

  private isIssuedHere (key: string | undefined): boolean {
    return [...this.keys].some(([name, value]) => value === key && name.startsWith('i1/'))
  }

  private recordAttemptStart (requestId: string, attempt: { id: string, requestId: string, upstreamId?: string }): void {
    const request = this.requests.get(requestId)!
    expect(this.now, 'no attempt starts after the deadline').toBeLessThan(request.deadlineAt)
    expect(request.answers, 'no attempt starts after the answer').toBe(0)
    if (!request.event.path.startsWith('/repeatable')) expect(this.possiblyRunAttempts(requestId)).toEqual([])
    const { upstreamId } = attempt
    this.attempts.push({ id: attempt.id, requestId, state: 'created', written: false, ...(upstreamId === undefined ? {} : { upstreamId }) })
    if (upstreamId === undefined) return
    expect(this.world.upstreams.get(upstreamId)!.state, 'a leaving upstream gets no work').toBe('live')
    const open = this.attempts.filter(row => row.upstreamId === upstreamId && ['created', 'written', 'answered'].includes(row.state))
    expect(open.length, 'slots are not exceeded').toBeLessThanOrEqual(SLOTS)
  }

  private checkNotRun (requestId: string): void {
    expect(this.possiblyRunAttempts(requestId), 'not-run is only answered if no attempt can have run').toEqual([])
  }
}

const paths = ['/repeatable', '/plain', '/protected', '/long']
const forwarded = { instanceId: 'p2', originZone: 'z2', tenant: 't', keyHome: false }

const action: fc.Arbitrary<(model: Model) => void> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ path: fc.constantFrom(...paths), key: fc.constantFrom('i1/a', 'i1/b', 'p2/c'), peer: fc.boolean(), timeoutMs: fc.constantFrom(0, 20, 1_000) })
      .map(({ path, key, peer, timeoutMs }) => (model: Model) => model.arrive({
        path, timeoutMs, ...(path === '/protected' ? { key: model.keyFor(key) } : {}), ...(peer && path !== '/protected' ? { forwarded } : {})
      }))
  },
  { weight: 8, arbitrary: fc.tuple(fc.nat(20), fc.nat(5)).map(([index, choice]) => (model: Model) => model.advance(index, choice)) },
  { weight: 1, arbitrary: fc.nat(20).map(index => (model: Model) => model.cancel(index)) },
  {
    weight: 2,
    arbitrary: fc.constantFrom(1, 6, 30, 2_000).map(ms => (model: Model) => {
      model.now += ms
      model.handle({ type: 'tick' })
    })
  },
  {
    weight: 1,
    arbitrary: fc.constantFrom('live', 'leaving').map(state => (model: Model) => {
      model.world.upstreams.set('u1', { ...model.world.upstreams.get('u1')!, state: state as 'live' | 'leaving' })
    })
  },
  {
    weight: 1,
    arbitrary: fc.constantFrom(1, 6, 30, 2_000).map(ms => (model: Model) => {
      model.now += ms
    })
  }
)

describe('request lifecycle', () => {
  it.each([
    ['fake', (world: World) => createFakeDependencies(world)],
    ['real', (world: World) => createRoutingDependencies(world, 1)]
  ])('answers each request once with a true outcome and stays within the slots of each upstream, with %s dependencies', (_name, create) => {
    fc.assert(fc.property(fc.array(action, { maxLength: 80 }), actions => {
      const model = new Model(create)
      for (const applyAction of actions) applyAction(model)
      model.finish()
      for (const request of model.requests.values()) {
        if (request.cancelled) expect(request.answers).toBeLessThanOrEqual(1)
        else expect(request.answers, request.event.requestId).toBe(1)
      }
      expect([model.world.requests.size, model.world.attempts.size], 'no rows remain').toEqual([0, 0])
    }))
  })
})
