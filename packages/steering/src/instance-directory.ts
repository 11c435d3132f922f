/**
 * The entry instances, and which of them a client should use: those that answered lately and accept requests, nearest
 * first.
 */
import type { ReaderCandidate } from './store-readers.js'

/** What an instance states of itself. */
export interface InstanceEntry {
  readonly id: string
  readonly zone: string
  readonly region: string
  /** `host:port` for callers. */
  readonly callerAddress: string
  /** `host:port` for other instances. */
  readonly peerAddress: string
  /** Bandwidth of the instance's link. */
  readonly linkMbps: number
}

/** What an instance answers when another one asks for its state. */
export interface InstanceReport {
  /** It takes new callers. */
  readonly accepts: boolean
  /** It reads the store, and the store answers it. */
  readonly isReading: boolean
}

export interface Directory {
  readonly put: (entry: InstanceEntry) => void
  readonly remove: (id: string) => void
  readonly ids: () => readonly string[]
  /** All instances other than the own one. */
  readonly peers: () => readonly InstanceEntry[]
  /** Records an answer of an instance. */
  readonly seen: (id: string, report: InstanceReport, now: number) => void
  /** What is known of the other instances, for the choice of the store's readers. */
  readonly candidates: (now: number) => readonly ReaderCandidate[]
  /** Caller addresses for a client, without the instances that are silent or stopping. */
  readonly addresses: (client: { readonly zone?: string, readonly region?: string }, now: number) => readonly string[]
}

/** Silence in milliseconds after which an instance is no longer named. Two missed polls and a slow answer. */
export const SILENT_AFTER_MS = 2_600
/** The same for instances of other regions, which are asked less often. */
export const DISTANT_SILENT_AFTER_MS = 6_500
/** Most addresses in one answer. */
const MAX_ADDRESSES = 64
/** Addresses that a client should have, so that the loss of one leaves it another. */
const MIN_ADDRESSES = 2
/** Bandwidth of an instance, relative to the best one, below which callers are sent to it only if there are few others. */
const MIN_LINK_RATIO = 0.25

interface Row { readonly entry: InstanceEntry, answeredAt: number, accepts: boolean, isReading: boolean }

/** Leaves out instances whose link would be full long before those of the others. */
function withWideLinks (entries: readonly InstanceEntry[]): readonly InstanceEntry[] {
  const best = Math.max(0, ...entries.map(({ linkMbps }) => linkMbps))
  const wide = entries.filter(({ linkMbps }) => linkMbps >= best * MIN_LINK_RATIO)
  return wide.length >= MIN_ADDRESSES ? wide : entries
}

export function createDirectory (self: InstanceEntry, selfAccepts: () => boolean): Directory {
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
    seen: (id, { accepts, isReading }, now) => {
      const row = rows.get(id)
      if (row === undefined) return
      row.answeredAt = now
      row.accepts = accepts
      row.isReading = isReading
    },
    candidates: now => [...rows.values()].filter(({ entry }) => entry.id !== self.id).map(({ entry, answeredAt: seenAt, isReading }) => ({
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
