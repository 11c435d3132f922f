/**
 * Property test: several instances share one store with conditional updates. Writes and their replies are lost, delayed
 * and sent again, writers race, and reads and pulls arrive late or never.
 */
import type { Change, Configuration, Operation } from '../../src/configuration.js'
import type { System } from '../../src/system.js'
import type { World } from '../../src/tables.js'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { changesSince, createConfigurationSystem, applyChange, determineWriteOutcome } from '../../src/configuration/index.js'
import { EMPTY_CONFIGURATION } from '../../src/configuration.js'
import { createWorld, runSystems } from '../../src/system.js'
import { createHeartbeat, createLocalInstance } from '../fixtures.js'

const INSTANCE_COUNT = 4

interface Put { readonly writer: number, readonly change: Change, readonly value: Configuration }
interface Node { readonly world: World, readonly system: System, pending: Put | undefined }

/** `pick` selects a message or peer; `isReplyLost` is for the reply to a write. */
interface Step { readonly type: keyof typeof ACTIONS, readonly node: number, readonly pick: number, readonly isReplyLost: boolean }

class Model {
  readonly nodes: Node[] = Array.from({ length: INSTANCE_COUNT }, (_, index) => {
    const world = createWorld(createLocalInstance(`i${index}`, 'z1'))
    return { world, system: createConfigurationSystem(world), pending: undefined }
  })

  store: Configuration = EMPTY_CONFIGURATION
  readonly written: string[] = []
  readonly accepted = new Set<string>()
  readonly refused = new Set<string>()
  puts: Put[] = []
  replies: Array<{ readonly node: number, readonly configuration: Configuration }> = []
  now = 0
  changes = 0

  receive (index: number, configuration: Configuration): void {
    const { world, system } = this.nodes[index] as Node
    const before = world.configuration?.version ?? 0
    runSystems([system], { type: 'configuration-received', configuration, source: 'peer' }, this.now)
    expect(world.configuration?.version ?? 0).toBeGreaterThanOrEqual(before)
  }

  /** Records the outcome of a change that its writer learned. */
  finish (node: Node, isAccepted: boolean): void {
    if (node.pending === undefined) return
    const { changeId } = node.pending.change
    ;(isAccepted ? this.accepted : this.refused).add(changeId)
    node.pending = undefined
  }

  heartbeat (from: number, to: number): void {
    const sender = this.nodes[from] as Node
    const { system } = this.nodes[to] as Node
    this.now += 600
    const heartbeat = createHeartbeat(sender.world.self, { configurationVersion: sender.world.configuration?.version ?? 0 })
    for (const command of runSystems([system], { type: 'heartbeat-received', heartbeat }, this.now)) {
      if (command.type !== 'pull-configuration' || sender.world.configuration === undefined) continue
      expect(changesSince(sender.world.configuration, command.sinceVersion)?.length).not.toBe(0)
      this.replies.push({ node: to, configuration: sender.world.configuration })
    }
  }
}

const ACTIONS = {
  /** Starts a change based on the instance's configuration, which may be old. */
  write: (model: Model, node: Node, { node: writer }: Step) => {
    if (node.pending !== undefined) return
    const base = node.world.configuration ?? EMPTY_CONFIGURATION
    model.changes += 1
    const changeId = `c${model.changes}`
    const operations: Operation[] = [{ table: 'regions', put: { id: changeId } }]
    const change = { version: base.version + 1, changeId, actor: 'a', reason: 'r', at: 0, operations }
    node.pending = { writer, change, value: applyChange(base, change)._unsafeUnwrap() }
    model.puts.push(node.pending)
  },
  /** Accepts a write into the store if its version still matches. The reply may be lost. */
  applyWrite: (model: Model, _node: Node, { pick, isReplyLost }: Step) => {
    const [put] = model.puts.splice(pick % Math.max(1, model.puts.length), 1)
    if (put === undefined) return
    const fits = put.value.version === model.store.version + 1
    if (fits) {
      model.store = put.value
      model.written.push(put.change.changeId)
    }
    const writer = model.nodes[put.writer] as Node
    // A conflict of a repeated write doesn't show whether the first copy succeeded, so the writer reads the object back.
    if (!isReplyLost && fits && writer.pending === put) model.finish(writer, true)
  },
  loseMessages: (model: Model, _node: Node, { pick }: Step) => {
    model.puts.splice(pick % Math.max(1, model.puts.length), 1)
    model.replies.splice(pick % Math.max(1, model.replies.length), 1)
  },
  /** Compares a pending write with the store: sends it again or learns its outcome. */
  resolvePendingWrite: (model: Model, node: Node) => {
    if (node.pending === undefined) return
    const state = determineWriteOutcome(model.store, node.pending.change)
    if (state === 'retry') model.puts.push(node.pending)
    else if (state !== 'unknown') model.finish(node, state === 'applied')
  },
  read: (model: Model, _node: Node, { node }: Step) => {
    model.replies.push({ node, configuration: model.store })
  },
  deliverHeartbeat: (model: Model, _node: Node, { node, pick }: Step) => model.heartbeat(pick % INSTANCE_COUNT, node),
  receive: (model: Model, _node: Node, { pick }: Step) => {
    const [reply] = model.replies.splice(pick % Math.max(1, model.replies.length), 1)
    if (reply !== undefined) model.receive(reply.node, reply.configuration)
  }
}

const step: fc.Arbitrary<Step> = fc.record({
  type: fc.constantFrom(...Object.keys(ACTIONS) as Array<keyof typeof ACTIONS>),
  node: fc.nat({ max: INSTANCE_COUNT - 1 }),
  pick: fc.nat({ max: 50 }),
  isReplyLost: fc.boolean()
})

describe('configuration under faults', () => {
  it('keeps every accepted change, never lowers the version and converges, guarding against lost updates', () => {
    let writes = 0
    fc.assert(fc.property(fc.array(step, { minLength: 60, maxLength: 400 }), steps => {
      const model = new Model()
      for (const taken of steps) ACTIONS[taken.type](model, model.nodes[taken.node] as Node, taken)
      expect(new Set(model.written).size).toBe(model.written.length)
      const rows = model.store.regions.map(region => region.id)
      expect(rows.sort()).toEqual([...model.written].sort())
      expect(rows).toEqual(expect.arrayContaining([...model.accepted]))
      expect(rows.filter(id => model.refused.has(id))).toEqual([])
      // After the faults, one instance reads the store, and heartbeats and pulls reach all others.
      model.replies = []
      model.receive(0, model.store)
      for (let index = 1; index < INSTANCE_COUNT; index += 1) {
        model.heartbeat(index - 1, index)
        for (const reply of model.replies.splice(0)) model.receive(reply.node, reply.configuration)
      }
      for (const { world } of model.nodes) expect(world.configuration ?? EMPTY_CONFIGURATION).toEqual(model.store)
      writes += model.accepted.size
    }))
    expect(writes).toBeGreaterThan(100)
  })
})
