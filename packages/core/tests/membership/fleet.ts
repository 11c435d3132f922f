/**
 * Simulates a fleet of membership systems on a network that delays and loses heartbeats. The receiver replies to each
 * heartbeat with its own, as on the peer port.
 */
import type { Event, ListedInstance } from '../../src/event.js'
import type { Heartbeat } from '../../src/heartbeat.js'
import type { MembershipSystem } from '../../src/membership/membership-system.js'
import type { LocalInstance, World } from '../../src/tables.js'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { createWorld, runSystems } from '../../src/system.js'
import { createMembershipSystem } from '../../src/membership/membership-system.js'
import { CONFIGURATION, listedEntryInstance, createLocalInstance } from '../fixtures.js'

/** Longer than in production, to keep the tests fast. */
const TICK_MS = 50
const MAX_DELAY_MS = 60
const PERCENT = 100

export interface Node {
  readonly self: LocalInstance
  readonly world: World
  readonly system: MembershipSystem
  isUp: boolean
}

interface Message { readonly at: number, readonly from: string, readonly to: string, readonly heartbeat: Heartbeat, readonly isReply: boolean }

export class Fleet {
  readonly nodes: Map<string, Node>
  now = 0
  /** Share of messages that are lost, in percent. */
  lossPercent = 0
  /** Whether a message can pass between two instances. */
  connected: (from: Node, to: Node) => boolean = () => true
  readonly #random: ReturnType<typeof xoroshiro128plus>
  #messages: Message[] = []

  constructor (zones: readonly string[], seed: number) {
    this.#random = xoroshiro128plus(seed)
    this.nodes = new Map(zones.map((zone, index) => {
      const own = createLocalInstance(`i${index}`, zone)
      const world = createWorld(own)
      world.configuration = CONFIGURATION
      return [own.id, { self: own, world, system: createMembershipSystem(world), isUp: true }]
    }))
    this.deliverList()
  }

  /** Delivers the platform's list to all nodes. */
  deliverList (...upstreams: readonly ListedInstance[]): void {
    const entries = [...this.nodes.values()].map(node => listedEntryInstance(node.self.id, node.self.zone))
    for (const node of this.nodes.values()) this.dispatch(node, { type: 'list-received', entries: [...entries, ...upstreams] })
  }

  dispatch (node: Node, event: Event): void {
    for (const command of runSystems([node.system], event, this.now)) {
      if (command.type === 'send-heartbeat') this.#send(node.self.id, command.instanceId, command.heartbeat, false)
    }
  }

  run (durationMs: number): void {
    for (const end = this.now + durationMs; this.now < end;) {
      this.now += TICK_MS
      const due = this.#messages.filter(message => message.at <= this.now)
      this.#messages = this.#messages.filter(message => message.at > this.now)
      for (const message of due) this.#deliver(message)
      for (const node of this.nodes.values()) if (node.isUp) this.dispatch(node, { type: 'tick' })
    }
  }

  /** Returns the instance states in the tables of all nodes that are up, as `observer>subject state`. */
  observedStates (): readonly string[] {
    const up = [...this.nodes.values()].filter(node => node.isUp)
    return up.flatMap(node => [...node.world.instances.values()].map(row => `${node.self.id}>${row.id} ${row.state}`))
  }

  #send (from: string, to: string, heartbeat: Heartbeat, isReply: boolean): void {
    if (unsafeUniformIntDistribution(1, PERCENT, this.#random) <= this.lossPercent) return
    this.#messages.push({ at: this.now + unsafeUniformIntDistribution(1, MAX_DELAY_MS, this.#random), from, to, heartbeat, isReply })
  }

  #deliver ({ from, to, heartbeat, isReply }: Message): void {
    const sender = this.nodes.get(from)
    const receiver = this.nodes.get(to)
    if (sender === undefined || receiver === undefined || !receiver.isUp || !this.connected(sender, receiver)) return
    this.dispatch(receiver, { type: 'heartbeat-received', heartbeat })
    if (!isReply) this.#send(to, from, receiver.system.heartbeat(this.now), true)
  }
}
