/**
 * Gossip-based membership: which entry instances and upstreams may receive new work. Combines the platform's list,
 * which lags, with heartbeats of peers, the peers' sightings of other instances, and announcements from all sources
 * that an upstream is leaving.
 */
import type { Command } from '../command.js'
import type { System } from '../system.js'
import type { ConfigurationReceived, HeartbeatReceived, ListReceived } from '../event.js'
import type { Headroom, Heartbeat, Sighting } from '../heartbeat.js'
import type { World } from '../tables.js'
import { createInstanceTable } from './instance-table.js'
import { createLeavingUpstreamSet, selectRoundRobin } from './leaving-upstream-set.js'
import { createPeerSelector } from './peer-selector.js'
import { createUpstreamTable } from './upstream-table.js'

export const HEARTBEAT_PERIOD_MS = 1_000
/**
 * When an upstream of this zone starts to leave, a heartbeat is sent after this time instead of at the next period, so
 * that the news crosses a zone of several hops within 3 s. Upstreams that leave together share one heartbeat.
 */
export const EARLY_HEARTBEAT_DELAY_MS = 100
/** Time between two scans for silent instances. Limits the cost with thousands of instances and the detection delay. */
export const SILENCE_CHECK_PERIOD_MS = 100
/** Bounds the size of a heartbeat. */
export const MAX_SIGHTINGS_PER_HEARTBEAT = 8
/**
 * Older sightings are not sent, because the receiver would soon mark the instance silent. In a zone of 46 instances,
 * each saw 82% of the others as live with this limit, but only 65% with 3 s.
 */
const MAX_SIGHTING_AGE_MS = 1_500

/** A list is pulled again after this time, because the reply may be lost or the peer may have no list. */
export const LIST_PULL_RETRY_MS = 1_000

export interface MembershipOptions {
  /** Returns the headroom of this instance's zone, which each heartbeat carries. */
  readonly headroom?: () => readonly Headroom[]
}

/** Sends heartbeats on ticks and updates the tables from received heartbeats, lists, configurations and attempts. */
export interface MembershipSystem extends System {
  /** Creates this instance's current heartbeat, for the reply to a peer's heartbeat. */
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
      // Heartbeats missed while the process was paused are skipped.
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

  /** Lets an instance that started while the platform was unavailable get its first list from a peer. */
  function pullList ({ instanceId, peerAddress: address }: Heartbeat, now: number): readonly Command[] {
    if (now - listPulledAt < LIST_PULL_RETRY_MS) return []
    listPulledAt = now
    return [{ type: 'pull-list', instanceId, address }]
  }

  function receiveList ({ entries }: ListReceived, now: number): readonly Command[] {
    // An empty list is a fault of the platform, because it should contain at least this instance.
    if (entries.length === 0) return []
    hasList = true
    // Send the first heartbeats at the next tick.
    if (world.instances.size === 0) nextHeartbeatAt = -Infinity
    instances.receiveList(entries, now)
    for (const id of unreachable) if (!world.instances.has(id)) unreachable.delete(id)
    for (const entry of upstreams.receiveList(entries, now)) scheduleEarlyHeartbeat(entry.zone, now)
    return []
  }

  function receiveConfiguration ({ configuration }: ConfigurationReceived, now: number): readonly Command[] {
    for (const drain of configuration.drains) {
      // The drain's service needs no check, because an upstream serves only one.
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
      // These must run before the routing system, which deletes the row of an ended attempt.
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
