/**
 * Polls the other instances and copies newer data from them, except for the kinds that this instance reads from the store
 * itself. The replies also update the directory: which instances are live and which of them read the store.
 */
import type { InstanceDirectory, InstanceEntry, InstanceReport } from '@arbutustray/steering'
import type { Telemetry } from '@arbutustray/telemetry'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { ReplicaUpdate, StoreReplica, ResourceKind, Revisions } from './store-replica.js'
import { Agent, request } from 'undici'
import { createConnector } from './connector.js'
import { RESOURCE_KINDS } from './store-replica.js'

/** Reply of an instance to a poll: its own report and the revision of each kind in its replica. */
export interface PeerState extends InstanceReport {
  readonly id: string
  readonly revisions: Revisions
}

export interface PeerSyncOptions {
  readonly self: InstanceEntry
  readonly seeds: readonly string[]
  readonly directory: InstanceDirectory
  readonly replica: StoreReplica
  /** This instance's state, as reported to its peers. */
  readonly report: () => InstanceReport
  /** Whether this instance currently copies a kind from its peers because it does not read it from the store. */
  readonly isCopiedFromPeers: (kind: ResourceKind) => boolean
  readonly telemetry: Pick<Telemetry, 'log'>
}

export interface PeerSync {
  /** Handles the requests of other instances. */
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void
  readonly stop: () => Promise<void>
}

const POLL_INTERVAL_MS = 1_000
/**
 * A later reply is dropped, in milliseconds. The directory leaves a peer out only when its last reply is older than
 * `SILENT_AFTER_MS` or, in another region, `DISTANT_SILENT_AFTER_MS`.
 */
const POLL_TIMEOUT_MS = 900
/** Each instance of another region is polled once in this many intervals; one that reads the store, in every interval. */
const OTHER_REGION_POLL_INTERVALS = 4
/** Peers polled in one interval; if more are due, they are polled in rotation. */
const MAX_POLLS_PER_INTERVAL = 40
const STATE_PATH = '/state'
const EXCERPT_PATH = '/excerpt'

export function startPeerSync (options: PeerSyncOptions): PeerSync {
  const { self, directory, replica, telemetry } = options
  const connector = createConnector(() => {})
  const agent = new Agent({ connect: connector.open as never, keepAliveTimeout: 4 * POLL_INTERVAL_MS, headersTimeout: POLL_TIMEOUT_MS })
  /** Ids of peers, and addresses of seeds, whose last poll failed; each is logged once until it replies. */
  const failedPollTargets = new Set<string>()
  const fetchingKinds = new Set<ResourceKind>()
  let nextPeer = 0
  let intervalCount = 0

  async function get<T> (address: string, path: string): Promise<T> {
    const { statusCode, body } = await request(`http://${address}${path}`, { dispatcher: agent, signal: AbortSignal.timeout(POLL_TIMEOUT_MS) })
    if (statusCode !== 200) throw new Error(`status ${statusCode}`)
    return await body.json() as T
  }

  async function fetchUpdate (address: string, peerId: string, kind: ResourceKind): Promise<void> {
    if (fetchingKinds.has(kind)) return
    fetchingKinds.add(kind)
    try {
      const after = replica.revisions()[kind]
      const update = await get<ReplicaUpdate<ResourceKind>>(address, `${EXCERPT_PATH}?kind=${kind}&after=${after}`)
      if (replica.applyUpdate(kind, update)) telemetry.log('view-adopted', { kind, revision: update.revision, peerId })
    } finally {
      fetchingKinds.delete(kind)
    }
  }

  /** Kinds that this instance does not read from the store and that the peer has at a newer revision. */
  function findOutdatedKinds (revisions: Revisions): readonly ResourceKind[] {
    const ownRevisions = replica.revisions()
    return RESOURCE_KINDS.filter(kind => options.isCopiedFromPeers(kind) && revisions[kind] > ownRevisions[kind])
  }

  async function pollPeer (address: string, id: string): Promise<void> {
    try {
      const state = await get<PeerState>(address, STATE_PATH)
      directory.recordReport(state.id, state, performance.now())
      if (failedPollTargets.delete(id)) telemetry.log('peer-answers', { peerId: id })
      await Promise.all(findOutdatedKinds(state.revisions).map(async kind => await fetchUpdate(address, state.id, kind)))
    } catch (error) {
      if (failedPollTargets.has(id)) return
      failedPollTargets.add(id)
      telemetry.log('peer-silent', { peerId: id, error: String(error) })
    }
  }

  function pollPeers (): void {
    const peers = directory.peers()
    if (peers.length === 0) {
      for (const seed of options.seeds) if (seed !== self.peerAddress) pollPeer(seed, seed).catch(() => {})
      return
    }
    intervalCount += 1
    const readerIds = new Set(directory.readerCandidates(performance.now()).filter(({ isReading }) => isReading).map(({ id }) => id))
    const duePeers = peers.filter(({ id, region }, index) =>
      region === self.region || readerIds.has(id) || (index + intervalCount) % OTHER_REGION_POLL_INTERVALS === 0)
    for (let count = 0; count < Math.min(MAX_POLLS_PER_INTERVAL, duePeers.length); count += 1) {
      const { id, peerAddress } = duePeers[nextPeer % duePeers.length]
      nextPeer += 1
      pollPeer(peerAddress, id).catch(() => {})
    }
  }

  const timer = setInterval(pollPeers, POLL_INTERVAL_MS)
  pollPeers()

  function createResponseBody (url: URL): unknown {
    if (url.pathname === STATE_PATH) return { id: self.id, ...options.report(), revisions: replica.revisions() } satisfies PeerState
    const kind = RESOURCE_KINDS.find(name => name === url.searchParams.get('kind'))
    if (url.pathname !== EXCERPT_PATH || kind === undefined) return undefined
    return replica.updateSince(kind, Number(url.searchParams.get('after') ?? -1))
  }

  return {
    handle: (incoming, response) => {
      incoming.resume()
      const body = createResponseBody(new URL(incoming.url ?? '/', 'http://localhost'))
      if (body === undefined) response.writeHead(404).end()
      else response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    },
    stop: async () => {
      clearInterval(timer)
      await agent.destroy()
    }
  }
}
