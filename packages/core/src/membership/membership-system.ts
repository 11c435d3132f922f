/**
 * Membership: whom to trust with work. Combines the platform's lagging list, heartbeats of peers, what peers heard of
 * others, and the leaving marks of every source.
 */
import type { Command } from '../command.js'
import type { System } from '../engine.js'
import type { ConfigurationReceived, HeartbeatReceived, ListReceived } from '../event.js'
import type { Headroom, Heartbeat, Sighting } from '../heartbeat.js'
import type { World } from '../tables.js'
import { createInstanceTable } from './instance-table.js'
import { createLeavingUpstreamSet, selectRoundRobin } from './leaving-upstream-set.js'
import { createPeerSelector } from './peer-selector.js'
import { createUpstreamTable } from './upstream-table.js'

export const HEARTBEAT_PERIOD_MS = 1_000
/**
 * A new leaving mark is sent after this time instead of with the next heartbeat, so that it crosses a zone of several
 * hops within 3 s. Marks that arrive together share one heartbeat.
 */
export const EARLY_HEARTBEAT_DELAY_MS = 100
/** How often silence is looked for. It bounds the cost at thousands of instances and the delay of a silent mark. */
export const SILENCE_CHECK_PERIOD_MS = 100
/** Bounds the size of a heartbeat. */
export const MAX_SIGHTINGS_PER_HEARTBEAT = 8
/**
 * Instances heard longer ago are not passed on: they would be silent at the receiver soon. With 3 s instead, members of
 * a zone of 46 saw 65% of it as live, with this age 82%.
 */
const MAX_SIGHTING_AGE_MS = 1_500

/** A list is asked for again after this time, because the answer may be lost or the peer may have none. */
export const LIST_PULL_RETRY_MS = 1_000

export interface MembershipOptions {
  /** Headroom of this instance's zone, for the heartbeat. */
  readonly headroom?: () => readonly Headroom[]
}

/** The membership system and the heartbeat that answers a peer's. */
export interface MembershipSystem extends System {
  readonly heartbeat: (now: number) => Heartbeat
}

/** Creates the system that owns `world.instances` and `world.upstreams`. */
export function createMembershipSystem (world: World, options: MembershipOptions = {}): MembershipSystem {
  const { self } = world
  const { headroom = () => [] } = options
  const leavingSet = createLeavingUpstreamSet()
  const upstreams = createUpstreamTable(world, leavingSet)
  const instances = createInstanceTable(world)
  const selectPeers = createPeerSelector(world)
  const unreachable = new Set<string>()
  let round = 0
  let nextHeartbeatAt = -Infinity
  let nextSilenceCheckAt = -Infinity
  let earlyHeartbeatAt = Infinity
  let hasList = false
  let listPulledAt = -Infinity

  function scheduleEarlyHeartbeat (zone: string | undefined, now: number): void {
    if (zone === self.zone) earlyHeartbeatAt = Math.min(earlyHeartbeatAt, now + EARLY_HEARTBEAT_DELAY_MS)
  }

  function markUpstreamLeaving (id: string, zone: string | undefined, now: number): void {
    if (upstreams.markLeaving(id, zone, now)) scheduleEarlyHeartbeat(world.upstreams.get(id)?.zone ?? zone, now)
  }

  function selectSightings (now: number): readonly Sighting[] {
    const heard = [...world.instances.values()].filter(row => now - row.heardAt <= MAX_SIGHTING_AGE_MS)
    const sameZone = heard.filter(row => row.zone === self.zone)
    const otherZones = heard.filter(row => row.zone !== self.zone)
    const sameZoneCount = Math.max(MAX_SIGHTINGS_PER_HEARTBEAT / 2, MAX_SIGHTINGS_PER_HEARTBEAT - otherZones.length)
    const chosen = selectRoundRobin(sameZone, sameZoneCount, round)
    return [...chosen, ...selectRoundRobin(otherZones, MAX_SIGHTINGS_PER_HEARTBEAT - chosen.length, round)].map(row => ({
      instanceId: row.id,
      incarnation: row.incarnation,
      zone: row.zone,
      address: row.address,
      peerAddress: row.peerAddress,
      state: row.state === 'leaving' ? 'leaving' : 'live',
      ageMs: Math.ceil(now - row.heardAt)
    }))
  }

  function heartbeat (now: number): Heartbeat {
    const { id: instanceId, incarnation, zone, address, peerAddress } = self
    return {
      instanceId,
      incarnation,
      zone,
      address,
      peerAddress,
      state: world.stoppingSince === undefined ? 'live' : 'leaving',
      configurationVersion: world.configuration?.version ?? 0,
      headroom: headroom(),
      sightings: selectSightings(now),
      leavingUpstreams: leavingSet.selectForHeartbeat(zone, round, now)
    }
  }

  function sendHeartbeats (now: number): readonly Command[] {
    const content = heartbeat(now)
    return selectPeers(round, id => unreachable.has(id)).map(peer => (
      { type: 'send-heartbeat', instanceId: peer.id, address: peer.peerAddress, heartbeat: content }
    ))
  }

  function tick (now: number): readonly Command[] {
    if (now >= nextSilenceCheckAt) {
      nextSilenceCheckAt = now + SILENCE_CHECK_PERIOD_MS
      instances.markSilent(now)
    }
    if (now < Math.min(nextHeartbeatAt, earlyHeartbeatAt)) return []
    earlyHeartbeatAt = Infinity
    if (now >= nextHeartbeatAt) {
      round += 1
      // Heartbeats missed in a pause are not made up for.
      const next = nextHeartbeatAt + HEARTBEAT_PERIOD_MS
      nextHeartbeatAt = next > now ? next : now + HEARTBEAT_PERIOD_MS
    }
    return sendHeartbeats(now)
  }

  function receiveHeartbeat ({ heartbeat: received }: HeartbeatReceived, now: number): readonly Command[] {
    unreachable.delete(received.instanceId)
    instances.applyHeartbeat(received, now)
    for (const sighting of received.sightings) instances.applySighting(sighting, now)
    for (const id of received.leavingUpstreams) markUpstreamLeaving(id, received.zone, now)
    return hasList ? [] : pullList(received, now)
  }

  /** An instance that started while the platform is down gets its first list from a peer. */
  function pullList ({ instanceId, peerAddress: address }: Heartbeat, now: number): readonly Command[] {
    if (now - listPulledAt < LIST_PULL_RETRY_MS) return []
    listPulledAt = now
    return [{ type: 'pull-list', instanceId, address }]
  }

  function receiveList ({ entries }: ListReceived, now: number): readonly Command[] {
    // An empty list is a fault of the platform: at least this instance is live.
    if (entries.length === 0) return []
    hasList = true
    // The first heartbeats go out with the next tick.
    if (world.instances.size === 0) nextHeartbeatAt = -Infinity
    instances.receiveList(entries, now)
    for (const id of unreachable) if (!world.instances.has(id)) unreachable.delete(id)
    for (const entry of upstreams.receiveList(entries, now)) scheduleEarlyHeartbeat(entry.zone, now)
    return []
  }

  function receiveConfiguration ({ configuration }: ConfigurationReceived, now: number): readonly Command[] {
    for (const drain of configuration.drains) {
      // A drain of one service leaves the upstream's other work alone, but an upstream has only one service.
      if (drain.kind === 'upstream') markUpstreamLeaving(drain.target, undefined, now)
    }
    return []
  }

  function markAttemptTarget (event: { readonly attemptId: string, readonly leaving?: boolean }, now: number): readonly Command[] {
    const target = world.attempts.get(event.attemptId)?.target
    if (event.leaving === true && target?.type === 'upstream') markUpstreamLeaving(target.id, undefined, now)
    return []
  }

  return {
    name: 'membership',
    heartbeat,
    handlers: {
      tick: (_event, now) => tick(now),
      'heartbeat-received': receiveHeartbeat,
      'list-received': receiveList,
      'peer-unreachable': event => {
        if (world.instances.has(event.instanceId)) unreachable.add(event.instanceId)
        return []
      },
      // Must run before the system that ends attempts, which deletes the attempt's row.
      'attempt-answered': markAttemptTarget,
      'attempt-refused': markAttemptTarget,
      'configuration-received': receiveConfiguration,
      'stop-requested': (_event, now) => {
        earlyHeartbeatAt = Math.min(earlyHeartbeatAt, now)
        return []
      }
    }
  }
}
