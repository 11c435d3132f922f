/**
 * Chooses the instances that this one polls in an interval, so that the number of polls does not grow with the number of
 * instances:
 *
 * - neighbours: a fixed part of the region, the same in each interval, so that their connections stay open. All live
 *   instances of a small region are neighbours.
 * - sources: instances from which this one copies the store's data. Readers of the store are the sources of the first
 *   instances of a region; in a larger region, these are the sources of the rest.
 * - others: a few of all instances in turn, which finds those that answer again and carries news between regions.
 */
import type { OrderedInstance } from './instance-order.js'
import { hash32 } from '@arbutustray/core'
import { isBefore, orderInstance } from './instance-order.js'

/** Another instance, as this one knows it. */
export interface PeerCandidate {
  readonly id: string
  readonly region: string
  /** The instance answered recently, or another one reports so. */
  readonly isLive: boolean
  /** The instance reports that it reads the store successfully. */
  readonly isReading: boolean
  /** This instance's last poll of it failed, and nothing newer is known. */
  readonly hasFailed: boolean
}

export interface PeerSelection {
  /** Ids to poll in the next interval, without duplicates. */
  readonly next: (peers: readonly PeerCandidate[]) => readonly string[]
}

/** Number of neighbours of an instance. */
export const MAX_NEIGHBOURS = 10
/** Instances that are polled in turn, in one interval. */
const OTHERS_PER_INTERVAL = 2
/** Instances of a region that copy from a reader; the rest copy from them. */
const MAX_READER_CLIENTS = 32
/** Sources of an instance that does not copy from a reader; the second one covers the failure of the first. */
const RELAYS = 2

interface RankedPeer extends PeerCandidate, OrderedInstance {
  /** Order of the peer in this instance's own preference. */
  readonly preference: number
}

/** Peers that are live and answer first, each part in the order of preference. */
function byPreference (a: RankedPeer, b: RankedPeer): number {
  return Number(b.isLive && !b.hasFailed) - Number(a.isLive && !a.hasFailed) || a.preference - b.preference
}

export function createPeerSelection (self: { readonly id: string, readonly region: string }): PeerSelection {
  const own = orderInstance(self.id)
  const hashes = new Map<string, OrderedInstance & { readonly preference: number }>()
  let turn = 0

  function rank (peer: PeerCandidate): RankedPeer {
    let known = hashes.get(peer.id)
    if (known === undefined) hashes.set(peer.id, known = { ...orderInstance(peer.id), preference: hash32(`${self.id}\n${peer.id}`) })
    return { ...peer, ...known }
  }

  function sources (inRegion: readonly RankedPeer[], elsewhere: readonly RankedPeer[]): readonly RankedPeer[] {
    const earlier = inRegion.filter(peer => peer.isLive && isBefore(peer, own)).sort((a, b) => isBefore(a, b) ? -1 : 1)
    if (earlier.length >= MAX_READER_CLIENTS) return earlier.slice(0, MAX_READER_CLIENTS).sort(byPreference).slice(0, RELAYS)
    // A reader of another region covers the loss of the own one.
    return [...inRegion.filter(({ isReading }) => isReading), ...elsewhere.filter(({ isReading }) => isReading).sort(byPreference).slice(0, 1)]
  }

  return {
    next: peers => {
      const ranked = peers.map(rank)
      const inRegion = ranked.filter(({ region }) => region === self.region)
      const elsewhere = ranked.filter(({ region }) => region !== self.region)
      const chosen = new Set([...[...inRegion].sort(byPreference).slice(0, MAX_NEIGHBOURS), ...sources(inRegion, elsewhere)].map(({ id }) => id))
      const others = ranked.filter(({ id }) => !chosen.has(id))
      for (let count = 0; count < Math.min(OTHERS_PER_INTERVAL, others.length); count += 1, turn += 1) chosen.add(others[turn % others.length].id)
      return [...chosen]
    }
  }
}
