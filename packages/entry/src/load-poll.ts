/**
 * Polls the load reports (`GET /load`) of the upstreams in this instance's zone and emits them to the engine.
 */
import type { Engine, Upstream } from '@arbutustray/core'
import type { Telemetry } from '@arbutustray/telemetry'
import { Agent, request } from 'undici'
import { z } from 'zod'
import type { Emit } from './event-queue.js'

const POLL_PERIOD_MS = 1_000

/** Largest number of reports that are read concurrently. */
const MAX_PARALLEL_READS = 8

/** Time-out of one read. A report that takes longer is skipped and read again in the next period. */
const READ_TIMEOUT_MS = 800

/** Bytes read from one answer at most; limits the cost of an upstream that sends something else than a report. */
const MAX_REPORT_BYTES = 65_536

const LoadReport = z.object({ active: z.number().min(0), queued: z.number().min(0), at: z.union([z.number(), z.string()]) })

/** Time stamp of the newest report of an upstream, and when this process first received it. */
interface ReceivedReport {
  readonly at: number | string
  readonly firstReceivedAt: number
}

export interface LoadPoll {
  readonly stop: () => Promise<void>
}

export interface LoadPollOptions {
  readonly engine: Engine
  readonly emit: Emit
  readonly telemetry: Telemetry
}

/** Starts the periodic reads. */
export function startLoadPoll ({ engine, emit, telemetry }: LoadPollOptions): LoadPoll {
  const agent = new Agent({ connections: 1, maxResponseSize: MAX_REPORT_BYTES, connect: { timeout: READ_TIMEOUT_MS } })
  const newestReports = new Map<string, ReceivedReport>()
  let isRunning = false

  async function readReport (upstream: Upstream): Promise<void> {
    const sentAt = performance.now()
    const { statusCode, body } = await request(`http://${upstream.address}/load`, {
      dispatcher: agent, signal: AbortSignal.timeout(READ_TIMEOUT_MS)
    })
    const value = await body.json()
    if (statusCode !== 200) throw new Error(`status ${statusCode}`)
    const { active, queued, at } = LoadReport.parse(value)
    const now = performance.now()
    // `at` is a time on the upstream's clock. It only shows whether the report is new.
    const previous = newestReports.get(upstream.id)
    const newest = previous?.at === at ? previous : { at, firstReceivedAt: now }
    newestReports.set(upstream.id, newest)
    const ageMs = now - newest.firstReceivedAt + (now - sentAt) / 2
    emit({ type: 'upstream-reported', upstreamId: upstream.id, active, queued, ageMs })
  }

  async function readAllReports (): Promise<void> {
    const { self, upstreams } = engine.world
    const unreadUpstreams = [...upstreams.values()].filter(row => row.zone === self.zone && row.state === 'live')
    for (const id of newestReports.keys()) if (!upstreams.has(id)) newestReports.delete(id)
    const worker = async (): Promise<void> => {
      for (let next = unreadUpstreams.pop(); next !== undefined; next = unreadUpstreams.pop()) {
        const { id } = next
        await readReport(next).catch(error => telemetry.log('load-unread', { upstreamId: id, error: String(error) }))
      }
    }
    await Promise.all(Array.from({ length: MAX_PARALLEL_READS }, worker))
  }

  const timer = setInterval(() => {
    if (isRunning) return
    isRunning = true
    readAllReports().finally(() => { isRunning = false }).catch(() => {})
  }, POLL_PERIOD_MS).unref()

  return {
    stop: async () => {
      clearInterval(timer)
      await agent.destroy()
    }
  }
}
