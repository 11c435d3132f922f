/**
 * Polls the other instances and copies newer data from them, except for the kinds that this instance reads from the store
 * itself. The replies also update the directory: which instances are live and which of them read the store.
 */
import type { ClockReading, InstanceDirectory, InstanceEntry, InstanceReport, QuotaGrant, QuotaInquiry, Sighting, Steering, SteeringEvent, UpstreamDemand } from '@arbutustray/steering'
import type { Telemetry } from '@arbutustray/telemetry'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { SightingRow } from './sighting.js'
import type { ReplicaUpdate, StoreReplica, ResourceKind, Revisions } from './store-replica.js'
import { createPeerSelection } from '@arbutustray/steering'
import { Agent } from 'undici'
import { createConnector } from './connector.js'
import { fetchJson } from './fetch-json.js'
import { createInquiryBackoff } from './inquiry-backoff.js'
import { formatQuotaRows, parseQuotaRows, readQuotaRows } from './quota-rows.js'
import { parseTarget } from './request-target.js'
import { encodeSighting, parseSighting, readSightings } from './sighting.js'
import { encodeDemand, readDemands } from './upstream-demand.js'
import { RESOURCE_KINDS } from './store-replica.js'

/** Reply of an instance to a poll: its own report and the revision of each kind in its replica. */
export interface PeerState extends InstanceReport {
  readonly id: string
  readonly revisions: Revisions
  /** Time for which the sender has read the registry from the store without a failed call, in milliseconds. */
  readonly readingForMs: number
  /** The sender's demand for upstreams that state a request limit. */
  readonly demands: readonly UpstreamDemand[]
  /** Other live instances of its region. */
  readonly sightings: readonly SightingRow[]
}

/** Reply of an instance to an inquiry for parts of teams' quotas. */
interface QuotaReply { readonly grants: readonly QuotaGrant[] }

export interface PeerSyncOptions {
  readonly self: InstanceEntry
  readonly seeds: readonly string[]
  readonly directory: InstanceDirectory
  readonly replica: StoreReplica
  /** This instance's state, as reported to its peers. */
  readonly report: () => InstanceReport
  /** Whether this instance currently copies a kind from its peers because it does not read it from the store. */
  readonly isCopiedFromPeers: (kind: ResourceKind) => boolean
  readonly readingForMs: (kind: ResourceKind) => number
  readonly demands: () => readonly UpstreamDemand[]
  readonly quota: Pick<Steering, 'quotaInquiries' | 'grantQuota' | 'leasedQuotaShares'>
  readonly emit: (event: SteeringEvent) => void
  readonly telemetry: Pick<Telemetry, 'log' | 'metrics'>
}

export interface PeerSync {
  /** Handles the requests of other instances. */
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void
  readonly stop: () => Promise<void>
}

const POLL_INTERVAL_MS = 1_000
/** Interval at which readers are polled while removals are unconfirmed. */
const CONFIRMATION_INTERVAL_MS = 250
/** Readers that are polled to confirm removals. */
const CONFIRMING_READERS = 2
/**
 * Time without a failed call after which a reader has noticed no outage that could have ended within the grace period of a
 * removal, in milliseconds. A reader that started since then does not know of an outage.
 */
const MIN_READING_MS = 3_000
/**
 * A later reply is dropped, in milliseconds. The directory leaves a peer out only when its last reply is older than
 * `SILENT_AFTER_MS` or, in another region, `DISTANT_SILENT_AFTER_MS`.
 */
const POLL_TIMEOUT_MS = 900
/** Idle time after which a connection to a peer is closed; the peers keep theirs a little longer. */
const KEEP_ALIVE_MS = 9 * POLL_INTERVAL_MS
/** Maximum size of a reply; the registry of some thousand upstreams is about 1 MB. */
const MAX_REPLY_BYTES = 64 * 1_048_576
const MAX_LOGGED_CHARACTERS = 200
const STATE_PATH = '/state'
const EXCERPT_PATH = '/excerpt'
const QUOTA_PATH = '/quota'
/** Interval of the inquiries for parts of quotas while there is a shortage. */
const QUOTA_INTERVAL_MS = 500
/** Limit on the teams in the labels of a metric. */
const MAX_TEAM_LABELS = 100

export function startPeerSync (options: PeerSyncOptions): PeerSync {
  const { self, directory, replica, telemetry } = options
  const connector = createConnector(() => {})
  const agent = new Agent({ connect: connector.open as never, keepAliveTimeout: KEEP_ALIVE_MS })
  const selection = createPeerSelection(self)
  const backoff = createInquiryBackoff()
  /** Ids of peers, and addresses of seeds, whose last poll failed; each is logged once until it replies. */
  const failedPollTargets = new Set<string>()
  const fetchingKinds = new Set<ResourceKind>()
  let hasLoggedUnreadableQuota = false

  async function get<T> (address: string, path: string): Promise<T> {
    return await fetchJson(agent, { origin: `http://${address}`, path, timeoutMs: POLL_TIMEOUT_MS, maxBytes: MAX_REPLY_BYTES }) as T
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

  /** A poll or inquiry itself shows that this instance is live, so it carries its state. */
  function encodeSender (): string {
    return encodeURIComponent(JSON.stringify(encodeSighting(directory.ownSighting(options.report()))))
  }

  /** Invalid quota rows are ignored; the first are logged, as a peer of another build may send them in each poll. */
  function logUnreadableQuota (peerId: string): void {
    if (hasLoggedUnreadableQuota) return
    hasLoggedUnreadableQuota = true
    telemetry.log('quota-unreadable', { peerId })
  }

  function countLeases (direction: 'lent' | 'borrowed', grants: readonly QuotaGrant[]): void {
    for (const [, share] of grants) if (share > 0) telemetry.metrics.increment('arbutustray_quota_leases_total', { direction })
  }

  function recordGrants (peerId: string, rows: unknown, askedAt: ClockReading): void {
    const { rows: grants, isComplete } = readQuotaRows(rows)
    if (!isComplete) logUnreadableQuota(peerId)
    if (grants.length === 0) return
    countLeases('borrowed', grants)
    options.emit({ type: 'quota-granted', peerId, grants, askedAt })
  }

  async function pollPeer (address: string, id: string): Promise<void> {
    try {
      const askedAt = performance.now()
      const state = await get<PeerState>(address, `${STATE_PATH}?sender=${encodeSender()}`)
      directory.recordReport(state.id, state, performance.now())
      directory.recordSightings(readSightings(state.sightings), askedAt)
      if (failedPollTargets.delete(id)) telemetry.log('peer-answers', { peerId: id })
      options.emit({ type: 'peer-demands-reported', peerId: state.id, demands: readDemands(state.demands) })
      if (state.readingForMs >= MIN_READING_MS) replica.confirmRemovals(state.revisions.upstreams)
      await Promise.all(findOutdatedKinds(state.revisions).map(async kind => await fetchUpdate(address, state.id, kind)))
    } catch (error) {
      directory.recordFailure(id)
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
    const addresses = new Map(peers.map(({ id, peerAddress }) => [id, peerAddress]))
    for (const id of selection.next(directory.peerCandidates(performance.now()))) {
      const address = addresses.get(id)
      // `pollPeer` logs a failure itself.
      if (address !== undefined) pollPeer(address, id).catch(() => {})
    }
  }

  async function askForQuota (address: string, { peerId, requests }: QuotaInquiry): Promise<void> {
    const askedAt = { monotonic: performance.now(), wall: Date.now() }
    const { grants } = await get<QuotaReply>(address, `${QUOTA_PATH}?sender=${encodeSender()}&rows=${formatQuotaRows(requests)}`)
    recordGrants(peerId, grants, askedAt)
    if (Array.isArray(grants) && grants.length > 0) backoff.recordGrant()
  }

  /** Asks live instances for parts of the quotas of teams with a shortage; without one, nothing is sent. */
  function exchangeQuota (): void {
    const liveIds = directory.peerCandidates(performance.now()).filter(({ isLive, hasFailed }) => isLive && !hasFailed).map(({ id }) => id)
    const inquiries = options.quota.quotaInquiries(liveIds)
    const addresses = inquiries.length === 0 ? new Map<string, string>() : new Map(directory.peers().map(({ id, peerAddress }) => [id, peerAddress]))
    const asked = backoff.shouldAsk(inquiries.length > 0) ? inquiries : []
    for (const inquiry of asked) {
      const address = addresses.get(inquiry.peerId)
      // An instance that does not answer grants nothing; the polls log it.
      if (address !== undefined) askForQuota(address, inquiry).catch(() => {})
    }
    const shares = options.quota.leasedQuotaShares().slice(0, MAX_TEAM_LABELS)
    telemetry.metrics.replace('arbutustray_team_quota_share', shares.map(([team, share]) => [{ team }, share]))
  }

  /** Polls some readers of the store, those of this instance's region first, if removals are unconfirmed. */
  function confirmRemovals (): void {
    if (!replica.hasUnconfirmedRemovals()) return
    const reading = new Set(directory.peerCandidates(performance.now()).filter(({ isLive, isReading }) => isLive && isReading).map(({ id }) => id))
    const readers = directory.peers().filter(({ id }) => reading.has(id)).sort((a, b) => Number(b.region === self.region) - Number(a.region === self.region))
    for (const { id, peerAddress } of readers.slice(0, CONFIRMING_READERS)) pollPeer(peerAddress, id).catch(() => {})
  }

  const timers = [setInterval(pollPeers, POLL_INTERVAL_MS), setInterval(exchangeQuota, QUOTA_INTERVAL_MS), setInterval(confirmRemovals, CONFIRMATION_INTERVAL_MS)]
  pollPeers()

  /** Records the sender of a poll; `unreadable` if it can't be read. A poll of a client without a state names none. */
  function recordSender (url: URL): Sighting | undefined | 'unreadable' {
    const text = url.searchParams.get('sender')
    if (text === null) return undefined
    const sender = parseSighting(text)
    if (sender === undefined) {
      telemetry.log('poll-unreadable', { sender: text.slice(0, MAX_LOGGED_CHARACTERS) })
      return 'unreadable'
    }
    directory.recordSightings([sender], performance.now())
    return sender
  }

  /** Reply to an inquiry; `undefined` if it names no sender or asks for nothing. */
  function grantQuota (url: URL, sender: Sighting | undefined): QuotaReply | undefined {
    const parsed = parseQuotaRows(url.search, 'rows')
    if (parsed === undefined || sender === undefined) return undefined
    const { rows, isComplete } = parsed
    if (!isComplete) logUnreadableQuota(sender.id)
    const grants = options.quota.grantQuota(sender.id, rows)
    countLeases('lent', grants)
    return { grants }
  }

  function createResponseBody (url: URL, sender: Sighting | undefined): unknown {
    if (url.pathname === STATE_PATH) {
      const sightings = directory.sightings(performance.now()).map(encodeSighting)
      return { id: self.id, ...options.report(), revisions: replica.revisions(), readingForMs: options.readingForMs('upstreams'), demands: options.demands().map(encodeDemand), sightings } satisfies PeerState
    }
    if (url.pathname === QUOTA_PATH) return grantQuota(url, sender)
    const kind = RESOURCE_KINDS.find(name => name === url.searchParams.get('kind'))
    if (url.pathname !== EXCERPT_PATH || kind === undefined) return undefined
    return replica.updateSince(kind, Number(url.searchParams.get('after') ?? -1))
  }

  return {
    handle: (incoming, response) => {
      incoming.resume()
      const url = parseTarget(incoming)
      const sender = url === undefined ? undefined : recordSender(url)
      if (url === undefined || sender === 'unreadable') {
        response.writeHead(400).end()
        return
      }
      const body = createResponseBody(url, sender)
      if (body === undefined) response.writeHead(404).end()
      else response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    },
    stop: async () => {
      timers.forEach(timer => clearInterval(timer))
      await agent.destroy()
    }
  }
}
