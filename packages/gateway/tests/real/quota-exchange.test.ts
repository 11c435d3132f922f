/**
 * Guards against parts of quotas that get lost or change on the way between two instances, and against grants to senders
 * that can't be identified.
 */
import type { InstanceEntry, QuotaGrant, QuotaRequest, SteeringEvent } from '@arbutustray/steering'
import type { PeerSync, PeerSyncOptions } from '../../src/peer-sync.js'
import { createInstanceDirectory } from '@arbutustray/steering'
import { createMetrics } from '@arbutustray/telemetry'
import { afterEach, expect, it, vi } from 'vitest'
import { startPeerSync } from '../../src/peer-sync.js'
import { createStoreReplica } from '../../src/store-replica.js'
import { listen } from '../support.js'

const ends: Array<() => Promise<unknown>> = []
afterEach(async () => { await Promise.all(ends.splice(0).map(async end => await end())) })

interface Peer { readonly sync: PeerSync, readonly entry: InstanceEntry, readonly events: SteeringEvent[], readonly lines: string[], readonly metrics: ReturnType<typeof createMetrics> }

/** Starts the peer port and the polls of an instance that knows the others. */
async function startPeer (id: string, others: readonly InstanceEntry[], quota: PeerSyncOptions['quota']): Promise<Peer> {
  const { server, address } = await listen((request, response) => sync.handle(request, response))
  const entry: InstanceEntry = { id, zone: 'zone-1', region: 'region-1', callerAddress: '', peerAddress: address, linkMbps: 1_000 }
  const directory = createInstanceDirectory(entry, () => true)
  for (const other of others) {
    directory.put(other)
    directory.recordReport(other.id, { accepts: true, isReading: false }, performance.now())
  }
  const events: SteeringEvent[] = []
  const lines: string[] = []
  const metrics = createMetrics({ measureEventLoopDelay: false })
  const emit = (event: SteeringEvent): void => { events.push(event) }
  const sync = startPeerSync({
    self: entry,
    seeds: [],
    directory,
    replica: createStoreReplica({ emit, onInstances: () => {} }),
    report: () => ({ accepts: true, isReading: false }),
    isCopiedFromPeers: () => false,
    readingForMs: () => 0,
    demands: () => [],
    quota,
    emit,
    telemetry: { log: name => { lines.push(name) }, metrics }
  })
  ends.push(async () => {
    await sync.stop()
    server.closeAllConnections()
    server.close()
  })
  return { sync, entry, events, lines, metrics }
}

const SILENT: PeerSyncOptions['quota'] = { quotaInquiries: () => [], grantQuota: () => [], leasedQuotaShares: () => [] }

it('brings requests to the asked instance and its grants back', async () => {
  const asked: Array<readonly [string, readonly QuotaRequest[]]> = []
  const grants: readonly QuotaGrant[] = [['größe & co', 0.05, 1.25]]
  const lender = await startPeer('lender', [], {
    ...SILENT,
    grantQuota: (peerId, requests) => {
      asked.push([peerId, requests])
      return grants
    }
  })
  const requests: readonly QuotaRequest[] = [['größe & co', 0.1, 2]]
  let inquiries = 0
  const startedAt = performance.now()
  const borrower = await startPeer('borrower', [lender.entry], {
    ...SILENT,
    quotaInquiries: liveIds => inquiries++ === 0 ? liveIds.map(peerId => ({ peerId, requests })) : [],
    leasedQuotaShares: () => [['größe & co', 0.3]]
  })
  const granted = await vi.waitFor(() => {
    const event = borrower.events.find(({ type }) => type === 'quota-granted')
    expect(event).toBeDefined()
    return event as Extract<SteeringEvent, { type: 'quota-granted' }>
  }, 3_000)
  expect(granted).toMatchObject({ peerId: 'lender', grants })
  expect(granted.askedAt.monotonic).toBeGreaterThan(startedAt)
  expect(granted.askedAt.monotonic).toBeLessThan(performance.now())
  expect(asked).toEqual([['borrower', requests]])
  expect(await lender.metrics.text()).toContain('arbutustray_quota_leases_total{direction="lent"} 1')
  expect(await borrower.metrics.text()).toContain('arbutustray_quota_leases_total{direction="borrowed"} 1')
  expect(await borrower.metrics.text()).toContain('arbutustray_team_quota_share{team="größe & co"} 0.3')
})

it('grants nothing without a sender, ignores rows that can\'t be read and logs them once', async () => {
  const asked: Array<readonly QuotaRequest[]> = []
  const lender = await startPeer('lender', [], {
    ...SILENT,
    grantQuota: (_peerId, requests) => {
      asked.push(requests)
      return []
    }
  })
  const origin = `http://${lender.entry.peerAddress}`
  const sender = encodeURIComponent(JSON.stringify(['borrower', 1, 0, 1]))
  expect((await fetch(`${origin}/quota?rows=team,0.1,0`)).status).toBe(404)
  for (let count = 0; count < 2; count += 1) {
    const reply = await fetch(`${origin}/quota?sender=${sender}&rows=team,9,0;team,0.1,0`)
    expect(await reply.json()).toEqual({ grants: [] })
  }
  expect(asked).toEqual([[['team', 0.1, 0]], [['team', 0.1, 0]]])
  expect(lender.lines.filter(name => name === 'quota-unreadable')).toHaveLength(1)
})
