/**
 * Directory of the entry instances. It answers which instances a client should use: those that answered recently and
 * accept new callers, in the client's region and zone where possible.
 */
import type { ReaderCandidate } from './store-readers.js'

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

export interface InstanceDirectory {
  readonly put: (entry: InstanceEntry) => void
  readonly remove: (id: string) => void
  readonly ids: () => readonly string[]
  /** All instances except this one. */
  readonly peers: () => readonly InstanceEntry[]
  /** Records the state that an instance reported. */
  readonly recordReport: (id: string, report: InstanceReport, now: number) => void
  /** The other instances, for the selection of the store's readers. */
  readonly readerCandidates: (now: number) => readonly ReaderCandidate[]
  /** Caller addresses for a client, without the instances that do not answer or are stopping. */
  readonly addresses: (client: { readonly zone?: string, readonly region?: string }, now: number) => readonly string[]
}

/** Time without an answer after which an instance is left out, in milliseconds: two missed polls and a slow answer. */
export const SILENT_AFTER_MS = 2_600
/** The same for instances of other regions, which are polled less often. */
export const DISTANT_SILENT_AFTER_MS = 6_500
/** Limit on the addresses in one answer. */
const MAX_ADDRESSES = 64
/** Addresses that a client should get at least, so that it has another one when an instance fails. */
const MIN_ADDRESSES = 2
/** Bandwidth relative to the widest link below which an instance is used only if there are too few others. */
const MIN_LINK_RATIO = 0.25

interface Row { readonly entry: InstanceEntry, answeredAt: number, accepts: boolean, isReading: boolean }

/** Leaves out instances whose link would be saturated long before those of the others. */
function withWideLinks (entries: readonly InstanceEntry[]): readonly InstanceEntry[] {
  const best = Math.max(0, ...entries.map(({ linkMbps }) => linkMbps))
  const wide = entries.filter(({ linkMbps }) => linkMbps >= best * MIN_LINK_RATIO)
  return wide.length >= MIN_ADDRESSES ? wide : entries
}

export function createInstanceDirectory (self: InstanceEntry, selfAccepts: () => boolean): InstanceDirectory {
  const rows = new Map<string, Row>([[self.id, { entry: self, answeredAt: Infinity, accepts: true, isReading: false }]])

  function silentAfterMs (entry: InstanceEntry): number {
    return entry.region === self.region ? SILENT_AFTER_MS : DISTANT_SILENT_AFTER_MS
  }

  function isUsable (row: Row, now: number): boolean {
    return row.entry.id === self.id ? selfAccepts() : row.accepts && now - row.answeredAt < silentAfterMs(row.entry)
  }

  return {
    put: entry => {
      if (entry.id === self.id) return
      const known = rows.get(entry.id)
      const sameAddress = known?.entry.peerAddress === entry.peerAddress
      rows.set(entry.id, { entry, answeredAt: sameAddress ? known.answeredAt : -Infinity, accepts: sameAddress && known.accepts, isReading: sameAddress && known.isReading })
    },
    remove: id => { if (id !== self.id) rows.delete(id) },
    ids: () => [...rows.keys()],
    peers: () => [...rows.values()].filter(({ entry }) => entry.id !== self.id).map(({ entry }) => entry),
    recordReport: (id, { accepts, isReading }, now) => {
      const row = rows.get(id)
      if (row === undefined) return
      row.answeredAt = now
      row.accepts = accepts
      row.isReading = isReading
    },
    readerCandidates: now => [...rows.values()].filter(({ entry }) => entry.id !== self.id).map(({ entry, answeredAt: seenAt, isReading }) => ({
      id: entry.id, region: entry.region, isLive: now - seenAt < silentAfterMs(entry), isReading
    })),
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
