/**
 * Maintains the rows of the other entry instances. The platform's list supplies candidates; heartbeats and the
 * sightings in them show which instances are alive, leaving or silent.
 */
import type { ListedInstance } from '../event.js'
import type { Heartbeat, Sighting } from '../heartbeat.js'
import type { Instance, World } from '../tables.js'
import { UNLISTED_RETENTION_MS } from './upstream-table.js'

/** An instance is silent after this time without a heartbeat or sighting. Allows two lost heartbeats in a row. */
export const SILENT_AFTER_MS = 3_000
/** For this time after an instance restarted, delayed heartbeats of its previous incarnation are ignored. */
const ENDED_INCARNATION_RETENTION_MS = 10_000

/** Updates `world.instances`. No other module writes to it. */
export interface InstanceTable {
  /** Applies the platform's list, or a peer's copy of it. */
  readonly receiveList: (entries: readonly ListedInstance[], now: number) => void
  readonly applyHeartbeat: (heartbeat: Heartbeat, now: number) => void
  /** Applies what a peer reports of a third instance. */
  readonly applySighting: (sighting: Sighting, now: number) => void
  /** Marks live instances silent that were last heard more than `SILENT_AFTER_MS` ago. */
  readonly markSilent: (now: number) => void
}

/** Creates the writer of `world.instances`. */
export function createInstanceTable (world: World): InstanceTable {
  const { instances } = world
  const unlistedSince = new Map<string, number>()
  const listedLeaving = new Set<string>()
  const endedIncarnations = new Map<string, { readonly incarnation: string, readonly at: number }>()

  function isEnded (id: string, incarnation: string, now: number): boolean {
    const last = endedIncarnations.get(id)
    return last?.incarnation === incarnation && now - last.at < ENDED_INCARNATION_RETENTION_MS
  }

  function replaceRow (row: Instance, now: number): void {
    const previous = instances.get(row.id)
    if (previous !== undefined && previous.incarnation !== '' && previous.incarnation !== row.incarnation) {
      endedIncarnations.set(row.id, { incarnation: previous.incarnation, at: now })
    }
    instances.set(row.id, row)
  }

  /** Returns the new state of an instance: once `leaving`, an incarnation never becomes `live` again. */
  function retainLeaving (id: string, incarnation: string, state: 'live' | 'leaving'): 'live' | 'leaving' {
    const row = instances.get(id)
    return row?.incarnation === incarnation && row.state === 'leaving' ? 'leaving' : state
  }

  function applyHeartbeat (heartbeat: Heartbeat, now: number): void {
    const { instanceId: id, incarnation, zone, address, peerAddress, configurationVersion } = heartbeat
    if (id === world.self.id || isEnded(id, incarnation, now)) return
    const state = retainLeaving(id, incarnation, heartbeat.state)
    const headroom = new Map(heartbeat.headroom.map(row => [row.service, row]))
    const reported = { id, incarnation, zone, address, peerAddress, state, heardAt: now }
    replaceRow({ ...reported, configurationVersion, headroom, headroomAt: now }, now)
  }

  function applySighting (sighting: Sighting, now: number): void {
    const { instanceId: id, incarnation, zone, address, peerAddress } = sighting
    if (id === world.self.id || isEnded(id, incarnation, now)) return
    const heardAt = now - Math.max(0, sighting.ageMs)
    const row = instances.get(id)
    const isRecent = now - heardAt <= SILENT_AFTER_MS
    if (row !== undefined && row.incarnation === incarnation) {
      if (heardAt <= row.heardAt && sighting.state === row.state) return
      const state = retainLeaving(id, incarnation, sighting.state)
      const isAlive = state === 'leaving' || isRecent || now - row.heardAt <= SILENT_AFTER_MS
      instances.set(id, { ...row, state: isAlive ? state : 'silent', heardAt: Math.max(heardAt, row.heardAt) })
      return
    }
    // The sighting may be of an ended incarnation, so it does not replace one that was heard recently.
    if (!isRecent || (row !== undefined && now - row.heardAt <= SILENT_AFTER_MS)) return
    const sighted = { id, incarnation, zone, address, peerAddress, state: sighting.state, heardAt }
    replaceRow({ ...sighted, configurationVersion: 0, headroom: new Map(), headroomAt: -Infinity }, now)
  }

  function applyEntry (entry: ListedInstance, peerAddress: string): void {
    const { id, zone, address } = entry
    const row = instances.get(id)
    // Only the first list with `leaving` counts. A lagging list may still show that state after the instance restarted.
    const isNewlyLeaving = entry.state === 'leaving' && !listedLeaving.has(id)
    if (entry.state === 'leaving') listedLeaving.add(id)
    else listedLeaving.delete(id)
    if (row === undefined) {
      const unheard = { incarnation: '', heardAt: -Infinity, configurationVersion: 0, headroom: new Map(), headroomAt: -Infinity }
      instances.set(id, { id, zone, address, peerAddress, state: isNewlyLeaving ? 'leaving' : 'silent', ...unheard })
    } else if (row.heardAt === -Infinity) {
      instances.set(id, { ...row, zone, address, peerAddress, state: entry.state === 'leaving' ? 'leaving' : 'silent' })
    } else if (isNewlyLeaving) {
      instances.set(id, { ...row, state: 'leaving' })
    }
  }

  function removeUnlisted (listed: ReadonlySet<string>, now: number): void {
    for (const row of [...instances.values()]) {
      if (listed.has(row.id)) continue
      listedLeaving.delete(row.id)
      const since = unlistedSince.get(row.id) ?? now
      unlistedSince.set(row.id, since)
      if (now - Math.max(since, row.heardAt) < UNLISTED_RETENTION_MS) continue
      unlistedSince.delete(row.id)
      instances.delete(row.id)
    }
  }

  return {
    applyHeartbeat,
    applySighting,
    receiveList: (entries, now) => {
      const listed = new Set<string>()
      for (const entry of entries) {
        if (entry.role !== 'entry' || entry.peerAddress === undefined || entry.id === world.self.id) continue
        listed.add(entry.id)
        unlistedSince.delete(entry.id)
        applyEntry(entry, entry.peerAddress)
      }
      removeUnlisted(listed, now)
    },
    markSilent: now => {
      for (const row of instances.values()) {
        if (row.state === 'live' && now - row.heardAt > SILENT_AFTER_MS) instances.set(row.id, { ...row, state: 'silent' })
      }
    }
  }
}
