/**
 * Asks the other instances for their state and takes over what is newer there, unless this instance reads it from the
 * store itself. The answers also tell the directory which instances live and which of them read the store.
 */
import type { InstanceDirectory, InstanceEntry, InstanceReport } from '@arbutustray/steering'
import type { Telemetry } from '@arbutustray/telemetry'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Excerpt, Knowledge, KnowledgeKind, Revisions } from './knowledge.js'
import { Agent, request } from 'undici'
import { createConnector } from './connector.js'
import { KNOWLEDGE_KINDS } from './knowledge.js'

export interface PeerState extends InstanceReport {
  readonly id: string
  readonly revisions: Revisions
}

export interface PeerExchangeOptions {
  readonly self: InstanceEntry
  readonly seeds: readonly string[]
  readonly directory: InstanceDirectory
  readonly knowledge: Knowledge
  /** This instance's own report. */
  readonly report: () => InstanceReport
  /** Whether a kind is not read from the store at present. */
  readonly isStale: (kind: KnowledgeKind) => boolean
  readonly telemetry: Pick<Telemetry, 'log'>
}

export interface PeerExchange {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => void
  readonly stop: () => Promise<void>
}

const POLL_INTERVAL_MS = 1_000
/** A peer that needs longer is not fit to be named to callers. */
const POLL_TIMEOUT_MS = 900
/** Intervals in which each instance of another region is asked once; those that read the store are asked each time. */
const DISTANT_INTERVALS = 4
/** Peers that are asked in one interval. Larger regions are asked in turn. */
const MAX_POLLS = 40
const STATE_PATH = '/state'
const EXCERPT_PATH = '/excerpt'

export function createPeerExchange (options: PeerExchangeOptions): PeerExchange {
  const { self, directory, knowledge, telemetry } = options
  const connector = createConnector(() => {})
  const agent = new Agent({ connect: connector.open as never, keepAliveTimeout: 4 * POLL_INTERVAL_MS, headersTimeout: POLL_TIMEOUT_MS })
  const silent = new Set<string>()
  const fetching = new Set<KnowledgeKind>()
  let next = 0
  let interval = 0

  async function get<T> (address: string, path: string): Promise<T> {
    const { statusCode, body } = await request(`http://${address}${path}`, { dispatcher: agent, signal: AbortSignal.timeout(POLL_TIMEOUT_MS) })
    if (statusCode !== 200) throw new Error(`status ${statusCode}`)
    return await body.json() as T
  }

  async function adopt (address: string, peerId: string, kind: KnowledgeKind): Promise<void> {
    if (fetching.has(kind)) return
    fetching.add(kind)
    try {
      const after = knowledge.revisions()[kind]
      const excerpt = await get<Excerpt<KnowledgeKind>>(address, `${EXCERPT_PATH}?kind=${kind}&after=${after}`)
      if (knowledge.adopt(kind, excerpt)) telemetry.log('view-adopted', { kind, revision: excerpt.revision, peerId })
    } finally {
      fetching.delete(kind)
    }
  }

  /** Kinds of which a peer knows more. */
  function behind (revisions: Revisions): readonly KnowledgeKind[] {
    const own = knowledge.revisions()
    return KNOWLEDGE_KINDS.filter(kind => options.isStale(kind) && revisions[kind] > own[kind])
  }

  async function poll (address: string, id: string): Promise<void> {
    try {
      const state = await get<PeerState>(address, STATE_PATH)
      directory.recordReport(state.id, state, performance.now())
      if (silent.delete(id)) telemetry.log('peer-answers', { peerId: id })
      await Promise.all(behind(state.revisions).map(async kind => await adopt(address, state.id, kind)))
    } catch (error) {
      if (silent.has(id)) return
      silent.add(id)
      telemetry.log('peer-silent', { peerId: id, error: String(error) })
    }
  }

  function pollAll (): void {
    const peers = directory.peers()
    if (peers.length === 0) {
      for (const seed of options.seeds) if (seed !== self.peerAddress) poll(seed, seed).catch(() => {})
      return
    }
    interval += 1
    const reading = new Set(directory.readerCandidates(performance.now()).filter(({ isReading }) => isReading).map(({ id }) => id))
    const due = peers.filter(({ id, region }, index) =>
      region === self.region || reading.has(id) || (index + interval) % DISTANT_INTERVALS === 0)
    for (let count = 0; count < Math.min(MAX_POLLS, due.length); count += 1) {
      const { id, peerAddress } = due[next % due.length]
      next += 1
      poll(peerAddress, id).catch(() => {})
    }
  }

  const timer = setInterval(pollAll, POLL_INTERVAL_MS)
  pollAll()

  function answer (url: URL): unknown {
    if (url.pathname === STATE_PATH) return { id: self.id, ...options.report(), revisions: knowledge.revisions() } satisfies PeerState
    const kind = KNOWLEDGE_KINDS.find(name => name === url.searchParams.get('kind'))
    if (url.pathname !== EXCERPT_PATH || kind === undefined) return undefined
    return knowledge.excerpt(kind, Number(url.searchParams.get('after') ?? -1))
  }

  return {
    handle: (incoming, response) => {
      incoming.resume()
      const body = answer(new URL(incoming.url ?? '/', 'http://localhost'))
      if (body === undefined) response.writeHead(404).end()
      else response.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    },
    stop: async () => {
      clearInterval(timer)
      await agent.destroy()
    }
  }
}
