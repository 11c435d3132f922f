/**
 * Directory of the entry instances. It answers which instances a client should use: those that answered recently and
 * accept new callers, in the client's region and zone where possible.
 *
 * An instance polls only a part of the others. Each passes on which instances it has seen and how long ago, so that all
 * learn of all with a delay that grows with the logarithm of the region's size.
 */
import type { PeerCandidate } from './peer-selection.js'
import { hash32 } from '@arbutustray/core'
import { MAX_NEIGHBOURS } from './peer-selection.js'

/** An instance's registration in the store. */
export interface InstanceEntry {
  readonly id: string
  readonly zone: string
  readonly region: string
  /** `host:port` for callers. */
  readonly callerAddress: string
  /** `host:port` for other instances. */
  readonly peerAddress: string
  /** Bandwidth of the instance's link, in Mbit/s. */
  readonly linkMbps: number
}

/** State that an instance reports to other instances. */
export interface InstanceReport {
  /** The instance accepts new callers. */
  readonly accepts: boolean
  /** The instance reads the store successfully. */
  readonly isReading: boolean
}

/** An instance's state, as another instance passes it on. */
export interface Sighting extends InstanceReport {
  readonly id: string
  /** Hash of the address that answered: after a replacement, the same id has another address. */
  readonly addressHash: number
  /** Time since the instance answered, in milliseconds. */
  readonly ageMs: number
}

export interface InstanceDirectory {
  readonly put: (entry: InstanceEntry) => void
  readonly remove: (id: string) => void
  readonly ids: () => readonly string[]
  /** All instances except this one. */
  readonly peers: () => readonly InstanceEntry[]
  /** Records the state that an instance reported. */
  readonly recordReport: (id: string, report: InstanceReport, now: number) => void
  /** Records that a poll of the instance failed, which is not yet a reason to leave it out. */
  readonly recordFailure: (id: string) => void
  /** This instance's own state, to send with a poll. */
  readonly ownSighting: (report: InstanceReport) => Sighting
  /** The other live instances of this one's region, to pass on to another instance. */
  readonly sightings: (now: number) => readonly Sighting[]
  /**
   * Records what another instance passed on in answer to a poll that was sent at `askedAt`; sightings that are not newer
   * than what is known are ignored.
   */
  readonly recordSightings: (sightings: readonly Sighting[], askedAt: number) => void
  /** The other instances, for the selection of the store's readers and of the instances to poll. */
  readonly peerCandidates: (now: number) => readonly PeerCandidate[]
  /** Caller addresses for a client, without the instances that do not answer or are stopping. */
  readonly addresses: (client: { readonly zone?: string, readonly region?: string }, now: number) => readonly string[]
}

/**
 * Time without an answer after which a polled instance is left out, in milliseconds: two missed polls and a slow answer.
 */
export const SILENT_AFTER_MS = 2_600
/** Added for each instance that passes a sighting on, in milliseconds: one polling interval. */
const HOP_MS = 1_000
/** The same for instances of other regions, which are polled less often. */
export const DISTANT_SILENT_AFTER_MS = 6_500
/** Limit on the addresses in one answer. */
const MAX_ADDRESSES = 64
/** Addresses that a client should get at least, so that it has another one when an instance fails. */
const MIN_ADDRESSES = 2
/** Bandwidth relative to the widest link below which an instance is used only if there are too few others. */
const MIN_LINK_RATIO = 0.25

interface Row { readonly entry: InstanceEntry, readonly addressHash: number, answeredAt: number, hasFailed: boolean, accepts: boolean, isReading: boolean }

/** Time without a sighting after which an instance of a region with `members` instances is left out, in milliseconds. */
export function silentAfterMs (members: number): number {
  const hops = members <= MAX_NEIGHBOURS + 1 ? 0 : Math.ceil(Math.log(members) / Math.log(MAX_NEIGHBOURS)) - 1
  return SILENT_AFTER_MS + hops * HOP_MS
}

/** Leaves out instances whose link would be saturated long before those of the others. */
function withWideLinks (entries: readonly InstanceEntry[]): readonly InstanceEntry[] {
  const best = Math.max(0, ...entries.map(({ linkMbps }) => linkMbps))
  const wide = entries.filter(({ linkMbps }) => linkMbps >= best * MIN_LINK_RATIO)
  return wide.length >= MIN_ADDRESSES ? wide : entries
}

/** Callers that the directory sends to instances with narrow links, relative to their bandwidth: only those of a failure. */
const NARROW_LINK_WEIGHT = 0.05

/**
 * Callers that each instance can expect from the directory, relative to the others. In each region the bandwidth counts;
 * instances that are named only when others fail count for less.
 */
export function callerWeights (entries: readonly InstanceEntry[]): readonly number[] {
  const named = new Set<string>()
  for (const region of new Set(entries.map(entry => entry.region))) {
    for (const { id } of withWideLinks(entries.filter(entry => entry.region === region))) named.add(id)
  }
  return entries.map(({ id, linkMbps }) => linkMbps * (named.has(id) ? 1 : NARROW_LINK_WEIGHT))
}

export function createInstanceDirectory (self: InstanceEntry, selfAccepts: () => boolean): InstanceDirectory {
  const rows = new Map<string, Row>([[self.id, { entry: self, addressHash: hash32(self.peerAddress), answeredAt: Infinity, hasFailed: false, accepts: true, isReading: false }]])
  /** Computed again after a change of the rows. */
  let ownRegionSilentAfterMs: number | undefined

  function computeOwnRegionSilentAfterMs (): number {
    return silentAfterMs([...rows.values()].filter(({ entry }) => entry.region === self.region).length)
  }

  function isLive ({ entry, answeredAt }: Row, now: number): boolean {
    if (entry.region !== self.region) return now - answeredAt < DISTANT_SILENT_AFTER_MS
    ownRegionSilentAfterMs ??= computeOwnRegionSilentAfterMs()
    return now - answeredAt < ownRegionSilentAfterMs
  }

  function isUsable (row: Row, now: number): boolean {
    return row.entry.id === self.id ? selfAccepts() : row.accepts && isLive(row, now)
  }

  function update (row: Row, { accepts, isReading }: InstanceReport, answeredAt: number): void {
    row.answeredAt = answeredAt
    row.hasFailed = false
    row.accepts = accepts
    row.isReading = isReading
  }

  function others (): readonly Row[] {
    return [...rows.values()].filter(({ entry }) => entry.id !== self.id)
  }

  return {
    put: entry => {
      if (entry.id === self.id) return
      const known = rows.get(entry.id)
      const sameAddress = known?.entry.peerAddress === entry.peerAddress
      rows.set(entry.id, {
        entry,
        addressHash: hash32(entry.peerAddress),
        answeredAt: sameAddress ? known.answeredAt : -Infinity,
        hasFailed: sameAddress && known.hasFailed,
        accepts: sameAddress && known.accepts,
        isReading: sameAddress && known.isReading
      })
      ownRegionSilentAfterMs = undefined
    },
    remove: id => {
      if (id !== self.id) rows.delete(id)
      ownRegionSilentAfterMs = undefined
    },
    ids: () => [...rows.keys()],
    peers: () => others().map(({ entry }) => entry),
    recordReport: (id, report, now) => {
      const row = rows.get(id)
      if (row !== undefined) update(row, report, now)
    },
    recordFailure: id => {
      const row = rows.get(id)
      if (row !== undefined) row.hasFailed = true
    },
    ownSighting: report => ({ id: self.id, addressHash: hash32(self.peerAddress), ageMs: 0, accepts: report.accepts, isReading: report.isReading }),
    sightings: now => others().filter(row => row.entry.region === self.region && isLive(row, now))
      .map(({ entry: { id }, addressHash, answeredAt, accepts, isReading }) => ({ id, addressHash, ageMs: Math.ceil(now - answeredAt), accepts, isReading })),
    recordSightings: (sightings, askedAt) => {
      for (const sighting of sightings) {
        const row = rows.get(sighting.id)
        // The age counts from before the answer was made, so a sighting never looks newer than it is.
        const seenAt = askedAt - sighting.ageMs
        if (row !== undefined && row.addressHash === sighting.addressHash && seenAt > row.answeredAt) update(row, sighting, seenAt)
      }
    },
    peerCandidates: now => others().map(row => ({ id: row.entry.id, region: row.entry.region, isLive: isLive(row, now), isReading: row.isReading, hasFailed: row.hasFailed })),
    addresses: ({ zone, region }, now) => {
      const live = [...rows.values()].filter(row => isUsable(row, now)).map(({ entry }) => entry)
      const inRegion = live.filter(entry => entry.region === region)
      const wide = withWideLinks(inRegion.length > 0 ? inRegion : live)
      const inZone = wide.filter(entry => entry.zone === zone)
      const named = inZone.length >= MIN_ADDRESSES ? inZone : wide
      return named.slice(0, MAX_ADDRESSES).map(({ callerAddress }) => callerAddress)
    }
  }
}
